package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/spec/strict"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Limits of the settings.
const (
	minSecretBytes = 32 // HKDF derives 32-byte keys from the secret; a shorter one would weaken them
	maxPeerKeys    = 16
	maxTokens      = 64
	maxTiming      = 24 * time.Hour
	minTiming      = time.Millisecond
	sha256HexChars = 64
)

// checker finds the faults of decoded settings and adds them to a report.
type checker struct {
	settings *Settings
	report   *strict.Report
}

func (c *checker) checkAll() {
	s := c.settings
	c.checkIdentifier("instance", string(s.Instance))
	c.checkIdentifier("data_centre", string(s.DataCentre))
	c.checkIdentifier("region", s.Region)
	c.checkAddress("listen", s.Listen, true)
	c.checkAddress("peer_listen", s.PeerListen, true)
	c.checkAdvertised("advertise", s.Advertise, s.Listen)
	c.checkAdvertised("peer_advertise", s.PeerAdvertise, s.PeerListen)
	c.checkBaseURL("log_service", s.LogService)
	c.checkBaseURL("instance_list", s.InstanceList)
	c.checkPeerKeys()
	c.checkTokens()
	c.checkTiming()
	if err := s.Clients.Check(); err != nil {
		c.report.Add("clients", "leave the key out, or choose a value in its range", "%v", err)
	}
}

func (c *checker) checkIdentifier(path, value string) {
	if value == "" {
		c.report.Add(path, "add the key with a value", "a value is required")
		return
	}
	if len(value) > structs.MaxIdentifierBytes {
		c.report.Add(path, "shorten it", "%d bytes are too many; at most %d", len(value), structs.MaxIdentifierBytes)
	}
}

func (c *checker) checkAddress(path, value string, required bool) {
	if value == "" {
		if required {
			c.report.Add(path, "give an address such as 10.0.0.1:7100", "an address is required")
		}
		return
	}
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || number < 1 || number > 65535 {
		c.report.Add(path, "give an address such as 10.0.0.1:7100", "%.80q is not host:port with a port from 1 to 65535", value)
		return
	}
	if host != "" && net.ParseIP(host) == nil {
		c.report.Add(path, "give an IP address; names are not resolved", "%.80q is not an IP address", host)
	}
}

// checkAdvertised checks the address that other instances connect to. When it is empty, they use the listen address, which
// must then have the IP address of one host.
func (c *checker) checkAdvertised(path, value, listen string) {
	c.checkAddress(path, value, false)
	effective := value
	if effective == "" {
		effective = listen
	}
	host, _, err := net.SplitHostPort(effective)
	if err != nil {
		return
	}
	if ip := net.ParseIP(host); host == "" || (ip != nil && ip.IsUnspecified()) {
		c.report.Add(path, "give an IP address at which other instances can reach this one", "others cannot connect to %.80q", effective)
	}
}

func (c *checker) checkBaseURL(path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		c.report.Add(path, "give a URL such as http://10.0.0.1:7000", "%.80q is not an http URL", value)
		return
	}
	if parsed.RawQuery != "" || parsed.Fragment != "" || parsed.User != nil {
		c.report.Add(path, "give scheme, host, port and path only", "the URL has a query, a fragment or a user")
	}
}

// checkPeerKeys checks each peer key and that exactly one is the newest at any time from now on.
func (c *checker) checkPeerKeys() {
	const path = "peer_keys"
	keys := c.settings.PeerKeys
	if len(keys) == 0 {
		c.report.Add(path, "add one key with id and secret", "at least one peer key is required")
		return
	}
	if len(keys) > maxPeerKeys {
		c.report.Add(path, "remove keys that are no longer used", "%d keys are too many; at most %d", len(keys), maxPeerKeys)
	}
	ids := make(map[string]bool, len(keys))
	starts := make(map[time.Time]bool, len(keys))
	usable := false
	for i, key := range keys {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.checkIdentifier(at+".id", key.ID)
		if ids[key.ID] {
			c.report.Add(at+".id", "give each key its own id", "id %.40q occurs twice", key.ID)
		}
		ids[key.ID] = true
		if len(key.Secret) < minSecretBytes {
			c.report.Add(at+".secret", "use at least 32 random bytes, for example 64 hex digits", "the secret has %d bytes; at least %d", len(key.Secret), minSecretBytes)
		}
		if starts[key.UseFrom.UTC()] {
			c.report.Add(at+".use_from", "give each key its own time", "two keys have the same use_from, so neither is the newest")
		}
		starts[key.UseFrom.UTC()] = true
		usable = usable || !key.UseFrom.After(time.Now())
	}
	if !usable {
		c.report.Add(path, "keep the current key in the list until use_from of the next key has passed", "no key may be used yet")
	}
}

func (c *checker) checkTokens() {
	const path = "operator_tokens_sha256"
	tokens := c.settings.OperatorTokensSHA256
	if len(tokens) == 0 {
		c.report.Add(path, "add the SHA-256 of an operator's token", "at least one token is required; without it nobody can publish")
	}
	if len(tokens) > maxTokens {
		c.report.Add(path, "remove tokens that are no longer used", "%d tokens are too many; at most %d", len(tokens), maxTokens)
	}
	for i, token := range tokens {
		if _, err := hex.DecodeString(token); err != nil || len(token) != sha256HexChars {
			c.report.Add(fmt.Sprintf("%s[%d]", path, i), "write the 64 hex digits that sha256sum prints for the token", "not a SHA-256 in hex")
		}
	}
}

func (c *checker) checkTiming() {
	t := c.settings.Timing
	all := []struct {
		key   string
		value time.Duration
	}{
		{"worker_session_ttl", t.WorkerSessionTTL}, {"worker_session_renew", t.WorkerSessionRenew}, {"task_lease", t.TaskLease},
		{"hold_ttl", t.HoldTTL}, {"checkpoint_grace", t.CheckpointGrace}, {"heartbeat", t.Heartbeat},
		{"heartbeat_remote", t.HeartbeatRemote}, {"suspect_after", t.SuspectAfter}, {"list_poll", t.ListPoll},
		{"minion_status_poll", t.MinionStatusPoll}, {"config_poll", t.ConfigPoll}, {"drain_timeout", t.DrainTimeout},
		{"key_lifetime", t.KeyLifetime}, {"freeze_threshold", t.FreezeThreshold}, {"log_retention", t.LogRetention},
	}
	for _, entry := range all {
		if entry.value < minTiming || entry.value > maxTiming {
			c.report.Add("timing."+entry.key, "choose a value in the range", "%v is out of range; %v to %v", entry.value, minTiming, maxTiming)
		}
	}
	c.checkAtMost("worker_session_renew", t.WorkerSessionRenew, "half of worker_session_ttl", t.WorkerSessionTTL/2,
		"the session would expire after a single lost renewal")
	c.checkAtMost("worker_session_ttl", t.WorkerSessionTTL, "half of task_lease", t.TaskLease/2,
		"task leases would expire during a change of rack owner")
	c.checkAtMost("heartbeat", t.Heartbeat, "half of suspect_after", t.SuspectAfter/2, "an instance would be suspected after one lost heartbeat")
	c.checkAtMost("config_poll", t.ConfigPoll, "5s", 5*time.Second, "a published text must be in force within 5 s")
	c.checkAtMost("checkpoint_grace", t.CheckpointGrace, "5s", 5*time.Second, "urgent work must start within 7.8 s")
	c.checkAtMost("list_poll", t.ListPoll, "3s", 3*time.Second, "a leaving minion must get no new work after 3 s")
	c.checkAtMost("minion_status_poll", t.MinionStatusPoll, "3s", 3*time.Second, "a leaving minion must get no new work after 3 s")
}

// checkAtMost checks that a duration is not above bound. boundName and reason explain the bound in the message.
func (c *checker) checkAtMost(key string, value time.Duration, boundName string, bound time.Duration, reason string) {
	if value > bound {
		c.report.Add("timing."+key, "lower it", "%v is more than %s (%v): %s", value, boundName, bound, reason)
	}
}
