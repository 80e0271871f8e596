// Package target holds the operators' commands for targets.
package target

import "egretproxy/internal/kernel/registry"

func init() { registry.DescribeGroup("target", "show targets") }
