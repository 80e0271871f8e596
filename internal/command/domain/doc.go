// Package domain holds the operators' commands for failure domains.
package domain

import "egretproxy/internal/kernel/registry"

func init() { registry.DescribeGroup("domain", "withdraw, return and show failure domains") }
