// Package registry is the kernel's list of commands. Each command registers
// itself, so that adding one touches no other file.
package registry

import (
	"context"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
)

// Command is one command of the program.
type Command interface {
	// Path is the words that call it, such as "bundle", "roll".
	Path() []string
	// Aliases are other names of the last word.
	Aliases() []string
	// Usage is one line of help, Description the rest of it.
	Usage() string
	Description() string
	// Arguments names the positional arguments, such as "BUNDLE".
	Arguments() string
	Flags() []cli.Flag
	// Execute runs the command.
	Execute(ctx context.Context, c *cli.Command) error
}

var commands []Command

// groups are the descriptions of first words with commands below them.
var groups = map[string]string{}

// Register adds a command.
func Register(c Command) {
	commands = append(commands, c)
}

// DescribeGroup sets the help line of a first word.
func DescribeGroup(group, usage string) {
	groups[group] = usage
}

// Commands returns the tree of all registered commands.
func Commands() []*cli.Command {
	sorted := slices.Clone(commands)
	slices.SortFunc(sorted, func(a, b Command) int {
		return strings.Compare(strings.Join(a.Path(), " "), strings.Join(b.Path(), " "))
	})
	var out []*cli.Command
	for _, c := range sorted {
		out = insert(out, c)
	}
	return out
}

func insert(tree []*cli.Command, c Command) []*cli.Command {
	path := c.Path()
	leaf := &cli.Command{
		Name: path[len(path)-1], Aliases: c.Aliases(), Usage: c.Usage(),
		Description: c.Description(), ArgsUsage: c.Arguments(), Flags: c.Flags(), Action: c.Execute,
	}
	if len(path) == 1 {
		if at := find(tree, path[0]); at != nil {
			leaf.Commands = at.Commands
			*at = *leaf
			return tree
		}
		return append(tree, leaf)
	}
	at := find(tree, path[0])
	if at == nil {
		at = &cli.Command{Name: path[0], Usage: groups[path[0]]}
		tree = append(tree, at)
	}
	at.Commands = append(at.Commands, leaf)
	return tree
}

func find(tree []*cli.Command, name string) *cli.Command {
	for _, c := range tree {
		if c.Name == name {
			return c
		}
	}
	return nil
}
