package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/process"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

const (
	entryInstances = 9
	totalMinions   = 50 // number of minions over all data centres
)

// processSpec describes one process of the demonstration.
type processSpec struct {
	name    string
	program string   // path of the binary
	args    []string // arguments after the program name
}

// fleet describes all processes and the instances that the instance list shows.
type fleet struct {
	directory       string // directory for settings and logs
	platformAddress string
	standIns        []processSpec // processes of the stand-ins, the platform first
	entries         []*entry
	entryProcesses  []processSpec // processes of the entry instances, in the order of entries
	instances       []platform.Instance
	minionAddresses []string
	workerAddresses []string
}

// planFleet plans the processes for a specification: 9 entry instances and 50 minions spread over the data centres, and the
// workers that the specification declares.
func planFleet(directory, daemon, standin string, text *spec.Text) (*fleet, error) {
	f := &fleet{directory: directory}
	addresses, err := process.FreeAddresses(1 + 2*entryInstances + totalMinions + len(text.DataCentres))
	if err != nil {
		return nil, err
	}
	nextAddress := func() string {
		address := addresses[0]
		addresses = addresses[1:]
		return address
	}
	f.platformAddress = nextAddress()
	f.standIns = append(f.standIns, processSpec{"platform", standin, []string{"platform", "--listen=" + f.platformAddress}})
	for i, dc := range text.DataCentres {
		f.planWorkers(standin, dc, nextAddress())
		f.planMinions(standin, text, dc, share(totalMinions, len(text.DataCentres), i), nextAddress)
	}
	for i := range entryInstances {
		dc := text.DataCentres[i%len(text.DataCentres)]
		if err := f.planEntry(daemon, dc, i, nextAddress(), nextAddress()); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// share returns the size of the i-th of n parts into which total is split as evenly as possible.
func share(total, n, i int) int {
	part := total / n
	if i < total%n {
		part++
	}
	return part
}

func (f *fleet) planWorkers(standin string, dc spec.DataCentre, address string) {
	racks := dc.Racks
	args := []string{
		"workers", "--listen=" + address,
		"--accelerators=" + strconv.Itoa(racks.AcceleratorsPerWorker),
		"--cores=" + strconv.Itoa(racks.CoresPerWorker),
		"--memory-mb=" + strconv.Itoa(racks.MemoryGBPerWorker*1024),
	}
	for r := range racks.Count {
		rack := fmt.Sprintf("%s-r%02d", dc.Name, r)
		for w := range racks.WorkersPerRack {
			id := fmt.Sprintf("%s-w%02d", rack, w)
			args = append(args, "--worker="+id)
			f.instances = append(f.instances, platform.Instance{
				ID: id, Role: platform.RoleWorker, DataCentre: dc.Name, Rack: structs.RackID(rack),
				Address: address, State: platform.StateLive,
			})
		}
	}
	f.workerAddresses = append(f.workerAddresses, address)
	f.standIns = append(f.standIns, processSpec{"workers-" + string(dc.Name), standin, args})
}

func (f *fleet) planMinions(standin string, text *spec.Text, dc spec.DataCentre, count int, nextAddress func() string) {
	service := servingService(text)
	args := []string{"minions", "--slots=" + strconv.Itoa(service.Minions.Slots), "--connections=" + strconv.Itoa(service.Minions.Connections)}
	for i := range count {
		address := nextAddress()
		args = append(args, "--address="+address)
		f.minionAddresses = append(f.minionAddresses, address)
		f.instances = append(f.instances, platform.Instance{
			ID: fmt.Sprintf("%s-m%02d", dc.Name, i), Role: platform.RoleMinion, DataCentre: dc.Name,
			Address: address, Service: service.Name, State: platform.StateLive,
		})
	}
	f.standIns = append(f.standIns, processSpec{"minions-" + string(dc.Name), standin, args})
}

// servingService returns the first service that has minions, or one without slots if there is none.
func servingService(text *spec.Text) spec.Service {
	for _, s := range text.Services {
		if s.Minions != nil {
			return s
		}
	}
	return spec.Service{Minions: &spec.Minions{}}
}

// planEntry adds an entry instance and writes its settings file.
func (f *fleet) planEntry(daemon string, dc spec.DataCentre, index int, address, peerAddress string) error {
	id := fmt.Sprintf("entry-%d", index)
	path := filepath.Join(f.directory, id+".yaml")
	if err := os.WriteFile(path, f.settings(id, dc, address, peerAddress), 0o600); err != nil {
		return err
	}
	f.entries = append(f.entries, &entry{id: id, dataCentre: string(dc.Name), address: address})
	f.entryProcesses = append(f.entryProcesses, processSpec{id, daemon, []string{"serve", "--settings=" + path}})
	f.instances = append(f.instances, platform.Instance{
		ID: id, Role: platform.RoleEntry, DataCentre: dc.Name, Address: address, PeerAddress: peerAddress, State: platform.StateLive,
	})
	return nil
}

// settings returns the settings file of an entry instance.
func (f *fleet) settings(id string, dc spec.DataCentre, address, peerAddress string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "instance: %s\ndata_centre: %s\nregion: %s\n", id, dc.Name, dc.Region)
	fmt.Fprintf(&b, "listen: %s\npeer_listen: %s\n", address, peerAddress)
	fmt.Fprintf(&b, "log_service: http://%s\ninstance_list: http://%s\n", f.platformAddress, f.platformAddress)
	fmt.Fprintf(&b, "peer_keys:\n  - {id: demo, secret: %s, use_from: 2026-01-01T00:00:00Z}\n", peerSecret)
	fmt.Fprintf(&b, "operator_tokens_sha256: [%s]\n", digest(operatorToken))
	return b.Bytes()
}

// putInstance adds an instance to the instance list, or replaces its entry.
func (f *fleet) putInstance(ctx context.Context, client *http.Client, instance platform.Instance) error {
	data, err := json.Marshal(instance)
	if err != nil {
		return err
	}
	return f.changeList(ctx, client, http.MethodPut, instance.ID, data)
}

// deleteInstance removes an instance from the instance list.
func (f *fleet) deleteInstance(ctx context.Context, client *http.Client, id string) error {
	return f.changeList(ctx, client, http.MethodDelete, id, nil)
}

func (f *fleet) changeList(ctx context.Context, client *http.Client, method, id string, data []byte) error {
	target := "http://" + f.platformAddress + "/instances/" + url.PathEscape(id)
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("instance list answered status %d", response.StatusCode)
	}
	return nil
}

// leaving returns an instance as the instance list shows it, but with the state leaving.
func (f *fleet) leaving(id string) platform.Instance {
	for _, i := range f.instances {
		if i.ID == id {
			i.State = platform.StateLeaving
			return i
		}
	}
	return platform.Instance{ID: id}
}
