// Package bundle holds the operators' commands for bundles.
package bundle

import "egretproxy/internal/kernel/registry"

func init() { registry.DescribeGroup("bundle", "create, approve, roll, supersede and show bundles") }
