/*
 * Kinds of log lines. The list drives the operators' page and its test; docs/OPERATIONS.md has the
 * same table.
 */
#ifndef APRICOT_LOGEVENT_H
#define APRICOT_LOGEVENT_H

/* X(name, what it says) */
#define LOG_EVENT_LIST(X)                                                                      \
	X("started", "the process serves; its addresses")                                      \
	X("stopped", "the process ends")                                                       \
	X("stop_announced", "a planned stop began; when no list names this VM any more")       \
	X("stop_done", "a planned stop is finished and why")                                   \
	X("stop_bound_reached", "a planned stop cut requests at its bound")                    \
	X("reloaded", "the settings were read again and why")                                  \
	X("reload_refused", "settings that were not taken and why")                            \
	X("log_dropped", "lines left out since the last such line")                            \
	X("request_begun", "a request that must not be repeated was sent to a leaf")           \
	X("requests_begun", "ids of requests that were read since the last such line")         \
	X("requests_brief", "ends of requests without a line: id:outcome:status:in/of")        \
	X("request_done", "one request: route, version, shards in, calls, trace of decisions") \
	X("request_refused", "one request that matched no route or lacked a field")            \
	X("input_refused", "bytes that were no request, and the status sent")                  \
	X("config_applied", "a configuration version is in force, and the one before")         \
	X("config_refused", "a configuration that cannot be read; the one before stays")       \
	X("leaf_changed", "a leaf is new, has restarted, or changed its state")                \
	X("leaf_gone", "a leaf is taken as gone; the store's revision")                        \
	X("leaf_doubted", "a leaf is avoided for a time and why")                              \
	X("leaf_entry_refused", "an entry of the store that names no usable leaf")             \
	X("store_lost", "the store does not answer; the last revision known")                  \
	X("store_back", "the store answers again and after how long")                          \
	X("store_listed", "all keys of the store were read")                                   \
	X("store_history_lost", "the store has dropped its history; all keys are read again")  \
	X("store_reading", "whether this VM reads the store or hears from peers, and why")     \
	X("entries_chosen", "how many VMs callers are told of")                                \
	X("member_changed", "another VM is live, leaving, suspected or removed")               \
	X("pause_detected", "this process did not run for longer than its lease")              \
	X("backend_leaving", "own interface: a backend server is marked as leaving")           \
	X("backend_live", "own interface: a leaving mark was lifted")                          \
	X("platform_down", "own interface: the configuration service does not answer")         \
	X("platform_up", "own interface: it answers again")

#endif
