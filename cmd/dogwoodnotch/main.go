// Command dogwoodnotch is the scheduler's daemon and its command line.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"dogwoodnotch.example/dogwoodnotch/internal/server"
	"dogwoodnotch.example/dogwoodnotch/internal/settings"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	var err error
	switch os.Args[1] {
	case "serve":
		var s *settings.Settings
		s, err = settings.Load(strings.TrimPrefix(os.Args[2], "--settings="))
		if err == nil {
			var srv *server.Server
			srv, err = server.New(s, os.Stderr)
			if err == nil {
				err = srv.Run(ctx)
			}
		}
	case "publish":
		data, _ := os.ReadFile(os.Args[2])
		body, _ := json.Marshal(map[string]any{"base_version": 0, "publish_id": "first", "author": "demo", "text": string(data)})
		req, _ := http.NewRequest("POST", strings.TrimPrefix(os.Args[3], "--server=")+"/v1/config", bytes.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+strings.TrimPrefix(os.Args[4], "--token="))
		var resp *http.Response
		resp, err = http.DefaultClient.Do(req)
		if err == nil {
			out, _ := io.ReadAll(resp.Body)
			fmt.Println(string(out))
			if resp.StatusCode != 200 {
				os.Exit(1)
			}
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
