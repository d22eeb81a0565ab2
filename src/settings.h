/*
 * Settings of apricotd. They come from flags and, where a flag is absent, from environment
 * variables. A file of lines NAME=VALUE (--settings) sets environment variables, replacing values
 * that the process was started with; the file is read again when it changes. The parser, --help and
 * the range checks are generated from the lists below.
 */
#ifndef APRICOT_SETTINGS_H
#define APRICOT_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* X(field, flag, environment variable, is required, help) */
#define SETTINGS_TEXT_LIST(X)                                                                  \
	X(name, "name", "APRICOT_NAME", 1, "name of this VM, unique in the deployment")        \
	X(dc, "dc", "APRICOT_DC", 1, "data centre of this VM")                                 \
	X(http, "http", "APRICOT_HTTP", 1, "IP:PORT for callers and operators")                \
	X(rpc, "rpc", "APRICOT_RPC", 1, "IP:PORT for other VMs, TCP and UDP")                  \
	X(platform, "platform", "APRICOT_PLATFORM", 1, "IP:PORT of the configuration service") \
	X(peers, "peers", "APRICOT_PEERS", 0, "RPC addresses of other VMs, IP:PORT,IP:PORT")   \
	X(gateway, "gateway", "APRICOT_GATEWAY", 0,                                            \
	  "IP:PORT for callers of a routed deployment; selects its services")                  \
	X(directory, "directory", "APRICOT_DIRECTORY", 0,                                      \
	  "IP:PORT where callers ask which VMs to use")                                        \
	X(ready, "ready", "APRICOT_READY", 0, "IP:PORT of status checks")                      \
	X(settings, "settings", "APRICOT_SETTINGS", 0, "file of lines NAME=VALUE")             \
	X(features, "features", "APRICOT_FEATURES", 0,                                         \
	  "what the deployment asks for, as terms of the platform, comma-separated")           \
	X(spread, "spread", "APRICOT_SPREAD", 0,                                               \
	  "spread calls over unevenly loaded leaves: auto or off (default auto)")              \
	X(dc_regions, "dc-regions", "APRICOT_DC_REGIONS", 0,                                   \
	  "regions of the data centres, DC=REGION,DC=REGION (default: none is known)")         \
	X(stop_s, "stop-s", "APRICOT_STOP_S", 0,                                               \
	  "longest duration of a planned stop in seconds, also a fraction; goes before "       \
	  "stop-ms")                                                                           \
	X(repeat_window_s, "repeat-window-s", "APRICOT_REPEAT_WINDOW_S", 0,                    \
	  "time over which repeats are counted in seconds, also a fraction; goes before "      \
	  "repeat-window-ms")                                                                  \
	X(repeat_ratio, "repeat-ratio", "APRICOT_REPEAT_RATIO", 0,                             \
	  "limit on repeated leaf calls of a service for each of its requests, 0 to 1, in "    \
	  "steps of 0.01; goes before repeat-pct")                                             \
	X(cpu, "cpu", "APRICOT_CPU", 0, "processor share of this VM, cores (default 1)")       \
	X(link_mbps, "link-mbps", "APRICOT_LINK_MBPS", 0,                                      \
	  "speed of this VM's link, megabits a second (0 or empty: unknown)")                  \
	X(log_level, "log-level", "APRICOT_LOG_LEVEL", 0, "error, warning or info (default info)")

/* X(field, flag, environment variable, default, minimum, maximum, help) */
#define SETTINGS_NUMBER_LIST(X)                                                                 \
	X(lease_ms, "lease-ms", "APRICOT_LEASE_MS", 2000, 100, 60000,                           \
	  "pause of the process after which its data about others is stale, ms")                \
	X(id_lifetime_ms, "id-lifetime-ms", "APRICOT_ID_LIFETIME_MS", 120000, 1000, 3600000,    \
	  "how long a command id may be used, ms")                                              \
	X(max_ids, "max-ids", "APRICOT_MAX_IDS", 200000, 1, 10000000,                           \
	  "largest number of command ids stored")                                               \
	X(stop_ms, "stop-ms", "APRICOT_STOP_MS", 60000, 100, 600000,                            \
	  "longest duration of a planned stop, ms")                                             \
	X(watch_ms, "watch-ms", "APRICOT_WATCH_MS", 5000, 100, 60000,                           \
	  "longest wait of a watch of the platform, ms")                                        \
	X(report_ms, "leaf-report-ms", "APRICOT_LEAF_REPORT_MS", 0, 0, 60000,                   \
	  "period in which leaves write their entries to the store, ms (0 or empty: unknown)")  \
	X(entry_ttl_ms, "entry-ttl-ms", "APRICOT_ENTRY_TTL_MS", 1500, 100, 60000,               \
	  "how long callers of a routed deployment keep addresses, ms")                         \
	X(repeat_pct, "repeat-pct", "APRICOT_REPEAT_PCT", 20, 0, 100,                           \
	  "limit on repeated leaf calls of a service, per cent of its requests")                \
	X(repeat_window_ms, "repeat-window-ms", "APRICOT_REPEAT_WINDOW_MS", 10000, 100, 600000, \
	  "time over which repeats are counted, ms")                                            \
	X(repeat_slack, "repeat-slack", "APRICOT_REPEAT_SLACK", 0, 0, 1000000,                  \
	  "further repeats of a service per repeat window, all VMs together")                   \
	X(held_mb, "held-mb", "APRICOT_HELD_MB", 0, 0, 1048576,                                 \
	  "limit on bytes held for callers and leaves, MB; 0: a quarter of memory-mb")          \
	X(ping_ms, "ping-ms", "APRICOT_PING_MS", 1000, 100, 60000,                              \
	  "period of heartbeats between VMs, ms")                                               \
	X(memory_mb, "memory-mb", "APRICOT_MEMORY_MB", 0, 0, 1000000000,                        \
	  "memory of this VM, MB (0 or empty: unknown)")                                        \
	X(log_lines_s, "log-lines-s", "APRICOT_LOG_LINES_S", 40, 1, 100000,                     \
	  "limit on log lines about single requests, lines per second")

struct settings {
#define X(field, flag, env, required, help) char *field;
	SETTINGS_TEXT_LIST(X)
#undef X
#define X(field, flag, env, fallback, min, max, help) uint64_t field;
	SETTINGS_NUMBER_LIST(X)
#undef X
};

/*
 * Parses argv and the environment. Returns NULL with RESULT_BAD_SETTING and a message that names
 * the setting when a setting is unknown, missing, malformed or out of range. With --help it prints
 * the help and exits. Destroy accepts NULL.
 */
struct settings *settings_create(int argc, char **argv, GError **error);

/*
 * Sets the environment variables that the file names. Blank lines and lines that begin with # are
 * skipped. Returns false with RESULT_BAD_SETTING when the file cannot be read or a line is not of
 * the form NAME=VALUE with a NAME that begins with APRICOT_. The lines before a malformed one have
 * taken effect by then.
 */
gboolean settings_file_load(const char *path, GError **error);
/*
 * Sets *stop_ms to the longest duration of a planned stop with this settings file alone, and the
 * environment as settings_file_load does. Returns false with RESULT_BAD_SETTING when the file
 * cannot be read, or a number in it is malformed or out of range.
 */
bool settings_file_stop_ms(const char *path, uint64_t *stop_ms, GError **error);
void settings_destroy(struct settings *s);

/* Processor share of this VM in thousandths of a core; 1000 without the setting. */
uint32_t settings_cpu_milli(const struct settings *s);
/* False only if the setting is off. */
bool settings_has_spread(const struct settings *s);

/* Speed of this VM's link in megabits a second; 0: unknown. */
double settings_link_mbps(const struct settings *s);

G_END_DECLS

#endif
