// Package registry collects the commands of the program. Each command registers
// itself in an init function, so that adding one to a package changes no other
// file.
package registry

import (
	"context"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
)

// Command is one command of the command line.
type Command interface {
	// Path returns the words of the command, such as "bundle", "roll": a
	// command, or a group and a command in it.
	Path() []string
	// Aliases returns alternatives for the last word of the path.
	Aliases() []string
	// Usage returns the help in one line, and Description the long help.
	Usage() string
	Description() string
	// Arguments returns the names of the positional arguments, such as
	// "BUNDLE".
	Arguments() string
	Flags() []cli.Flag
	// Execute runs the command.
	Execute(ctx context.Context, c *cli.Command) error
}

var commands []Command

// groups maps the names of command groups to their help lines.
var groups = map[string]string{}

// Register adds a command. It must be called from an init function.
func Register(c Command) {
	commands = append(commands, c)
}

// DescribeGroup sets the help line of a command group. It must be called from
// an init function.
func DescribeGroup(group, usage string) {
	groups[group] = usage
}

// Commands returns all registered commands, sorted by path, with the commands
// of each group below it.
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

// insert adds a command to the tree and returns the tree. A command whose path
// is the name of a group keeps the commands of the group.
func insert(tree []*cli.Command, c Command) []*cli.Command {
	path := c.Path()
	leaf := &cli.Command{
		Name: path[len(path)-1], Aliases: c.Aliases(), Usage: c.Usage(),
		Description: c.Description(), ArgsUsage: c.Arguments(), Flags: c.Flags(), Action: c.Execute,
	}
	if len(path) == 1 {
		if existing := find(tree, path[0]); existing != nil {
			leaf.Commands = existing.Commands
			*existing = *leaf
			return tree
		}
		return append(tree, leaf)
	}
	group := find(tree, path[0])
	if group == nil {
		group = &cli.Command{Name: path[0], Usage: groups[path[0]]}
		tree = append(tree, group)
	}
	group.Commands = append(group.Commands, leaf)
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
