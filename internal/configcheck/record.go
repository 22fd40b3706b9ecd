package configcheck

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"dogwoodnotch.example/dogwoodnotch/internal/catalog"
	"dogwoodnotch.example/dogwoodnotch/platform"
)

// idPart matches the beginning of a job's id.
var idPart = regexp.MustCompile(`^[0-9a-f]{1,16}$`)

// checkRecord checks an operator's record.
func checkRecord(r *report, data []byte, options Options) {
	c, err := platform.DecodeConfiguration(data)
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		r.addAt(Error, positionIn(data, int(syntax.Offset)-1), "", "correct the JSON; the file must be one JSON object", "not valid JSON: %v", syntax)
		return
	case errors.As(err, &wrongType):
		r.addAt(Error, positionIn(data, int(wrongType.Offset)-1), wrongType.Field, "give a value of the right type", "wrong type of value: %s", wrongType.Value)
		return
	case err != nil:
		r.addAt(Error, position{1, 1}, "", "correct the file", "%v", err)
		return
	}
	root, err := parse(data)
	if err != nil {
		r.addAt(Error, position{1, 1}, "", "correct the file", "%v", err)
		return
	}
	r.root = root
	r.checkDuplicateKeys("", root)
	if c.Version <= 0 {
		r.add(Error, platform.FieldVersion, "give a number above that of the version in force", "the version %d is not positive", c.Version)
	}
	r.checkQueues(c)
	r.checkCustomers(c, options.Accelerators)
	r.checkLimits()
}

// checkDuplicateKeys reports keys that occur twice in an object. Instances use the last one.
func (r *report) checkDuplicateKeys(path string, v *value) {
	seen := map[string]bool{}
	for _, m := range v.members {
		key := strings.ToLower(m.key) // instances do not distinguish the case
		if seen[key] {
			r.addAt(Error, m.position, joinPath(path, m.key), "keep one of the two", "key %q occurs twice in the same object", m.key)
		}
		seen[key] = true
		r.checkDuplicateKeys(joinPath(path, m.key), m.value)
	}
	for i, item := range v.items {
		r.checkDuplicateKeys(fmt.Sprintf("%s[%d]", path, i), item)
	}
}

// checkQueues checks the routes.
func (r *report) checkQueues(c *catalog.Catalog) {
	services := r.services()
	if len(c.Queues) == 0 {
		r.add(Error, platform.FieldQueues, "add a route", "there are no routes, so no request is accepted")
	}
	names, firstAt := map[string]bool{}, map[string]string{}
	for i := range c.Queues {
		q := &c.Queues[i]
		path := fmt.Sprintf("%s[%d]", platform.FieldQueues, i)
		r.checkQueue(path, q)
		if q.Name != "" && names[q.Name] {
			r.add(Error, joinPath(path, platform.FieldName), "rename or remove one of the two", "the name %q occurs twice", q.Name)
		}
		names[q.Name] = true
		if services != nil && !services[q.Settings.Service] {
			r.add(NeverMatches, joinPath(path, platform.FieldService), "use one of: "+strings.Join(slices.Sorted(maps.Keys(services)), ", "),
				"there is no service %q, so jobs of queue %q never run", q.Settings.Service, q.Name)
		}
		address := q.Host + " " + q.PathPrefix
		if first, hidden := firstAt[address]; hidden {
			r.add(NeverMatches, joinPath(path, platform.FieldPathPrefix), "choose another prefix or remove one of the two",
				"queue %q is hidden by queue %q, which has the same host and prefix", q.Name, first)
		} else {
			firstAt[address] = q.Name
		}
		r.checkSharedIDs(path, q, c.Queues)
	}
}

// checkQueue checks the values of one route.
func (r *report) checkQueue(path string, q *catalog.Queue) {
	if q.Name == "" {
		r.add(Error, joinPath(path, platform.FieldName), "add a name", "the queue has no name")
	}
	if i := strings.LastIndexByte(q.Host, ':'); i >= 0 && !strings.HasSuffix(q.Host, "]") {
		r.add(NeverMatches, joinPath(path, platform.FieldHost), "remove the port", "the port of a request's host is ignored, so %q never matches", q.Host)
	}
	if q.Host == "" {
		r.add(NeverMatches, joinPath(path, platform.FieldHost), "add the host of the requests", "requests name a host, so a queue without one never matches")
	}
	if q.PathPrefix != "" && !strings.HasPrefix(q.PathPrefix, "/") {
		r.add(NeverMatches, joinPath(path, platform.FieldPathPrefix), "begin the prefix with a slash", "paths begin with a slash, so %q never matches", q.PathPrefix)
	}
	for name, negative := range map[string]bool{
		platform.FieldPriority: q.Settings.Priority < 0, platform.FieldTimeout: q.Timeout < 0, platform.FieldTargetLatency: q.Settings.Target < 0, platform.FieldMaxAttempts: q.Settings.MaxAttempts < 0, platform.FieldStretch: q.Settings.Stretch < 0,
	} {
		if negative {
			r.add(Error, joinPath(path, name), "give 0 or more", "the value is negative")
		}
	}
	if q.Timeout > 0 && q.Timeout < q.Settings.Target {
		r.add(Contradicts, joinPath(path, platform.FieldTimeout), "raise the timeout or lower the target latency",
			"the timeout of %v is shorter than the target latency of %v", q.Timeout, q.Settings.Target)
	}
	if s := q.Settings.Stretch; s > 0 && s < 1 {
		r.add(Contradicts, joinPath(path, platform.FieldStretch), "give 1 or more", "a stretch of %v asks for work to end sooner than it takes", s)
	}
}

// checkSharedIDs reports a queue to which another queue's job ids belong: its longer prefix goes on with what may be the beginning of an id.
func (r *report) checkSharedIDs(path string, q *catalog.Queue, all []catalog.Queue) {
	for i := range all {
		shorter := &all[i]
		rest, longer := strings.CutPrefix(q.PathPrefix, shorter.PathPrefix)
		if longer && q.Host == shorter.Host && idPart.MatchString(rest) {
			r.add(Contradicts, joinPath(path, platform.FieldPathPrefix), "end prefixes with a slash",
				"jobs of queue %q whose ids begin with %q would go to queue %q", shorter.Name, rest, q.Name)
		}
	}
}

// services returns the names of the services, or nil if the record has no list of them.
func (r *report) services() map[string]bool {
	list := r.root.member(platform.FieldServices)
	if list == nil {
		return nil
	}
	names := map[string]bool{}
	for _, s := range list.items {
		if name := s.member(platform.FieldName); name != nil {
			names[name.scalar] = true
		}
	}
	return names
}

// checkCustomers checks the tenants. accelerators is the size of the fleet, 0 if unknown.
func (r *report) checkCustomers(c *catalog.Catalog, accelerators int64) {
	names, owner := map[string]bool{}, map[string]string{}
	guaranteed, left := int64(0), accelerators
	for i := range c.Customers {
		customer := &c.Customers[i]
		path := fmt.Sprintf("%s[%d]", platform.FieldCustomers, i)
		switch {
		case customer.Name == "":
			r.add(Error, joinPath(path, platform.FieldName), "add a name", "the tenant has no name")
		case names[customer.Name]:
			r.add(Error, joinPath(path, platform.FieldName), "rename or remove one of the two", "the name %q occurs twice", customer.Name)
		}
		names[customer.Name] = true
		if len(customer.Keys) == 0 {
			r.add(NeverMatches, joinPath(path, platform.FieldKeys), "add a key, or remove the tenant", "nobody can act for tenant %q, which has no key", customer.Name)
		}
		for j, key := range customer.Keys {
			if other, taken := owner[key]; taken {
				r.add(Error, fmt.Sprintf("%s.%s[%d]", path, platform.FieldKeys, j), "give each tenant its own key", "the key is also that of tenant %q", other)
			}
			owner[key] = customer.Name
		}
		g := customer.GuaranteedAccelerators
		if g < 0 {
			r.add(Error, joinPath(path, platform.FieldGuaranteed), "give 0 or more", "the value is negative")
			continue
		}
		if accelerators > 0 && g > left {
			r.add(Contradicts, joinPath(path, platform.FieldGuaranteed), "lower the guarantees",
				"the fleet has %d accelerators, of which %d are guaranteed to tenants above and %d to tenant %q", accelerators, guaranteed, g, customer.Name)
		}
		left -= min(g, left)
		guaranteed += g
	}
}

// checkLimits checks that the limits are numbers of 0 or more. Those that a version does not know are left alone.
func (r *report) checkLimits() {
	limits := r.root.member(platform.FieldLimits)
	if limits == nil {
		return
	}
	for _, m := range limits.members {
		if strings.HasPrefix(m.value.scalar, "-") {
			r.add(Error, joinPath(platform.FieldLimits, m.key), "give 0 or more", "the value is negative")
		}
	}
}

// checkVersion reports a record that instances ignore because it is no newer than the other one.
func (r *report) checkVersion(older, newer *value) {
	from, to := older.member(platform.FieldVersion), newer.member(platform.FieldVersion)
	if from == nil || to == nil || len(r.findings) == 0 {
		return
	}
	var before, now int64
	if json.Unmarshal([]byte(from.scalar), &before) == nil && json.Unmarshal([]byte(to.scalar), &now) == nil && now <= before {
		r.add(Error, platform.FieldVersion, fmt.Sprintf("give at least %d", before+1), "version %d is not newer than version %d, so instances ignore it", now, before)
	}
}
