// Package logs sets up the log as JSON lines.
package logs

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"
)

// klogVerbosity maps the settings' level to klog's klogVerbosity.
var klogVerbosity = map[string]int{"Error": 0, "Warning": 0, "Info": 0, "Debug": 2}

var slogLevels = map[string]slog.Level{
	"Error": slog.LevelError, "Warning": slog.LevelWarn, "Info": slog.LevelInfo, "Debug": slog.Level(-2),
}

// Init sends the log to the writer, from the level on.
func Init(w io.Writer, level string) {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slogLevels[level]})
	klog.SetSlogLogger(slog.New(handler))
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	_ = flags.Set("v", strconv.Itoa(klogVerbosity[level]))
}
