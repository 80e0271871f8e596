// Package quarantine implements the operators' commands for parts of prompts, and
// requests, that a site shuts out because engines end with them.
package quarantine

import "egretproxy/internal/kernel/registry"

func init() {
	registry.DescribeGroup("quarantine", "show and readmit parts of prompts, and requests, that a site shuts out")
}
