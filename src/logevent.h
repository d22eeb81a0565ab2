/*
 * The events of log lines. docs/OPERATIONS.md has the same table for operators, and a test compares
 * the list with that table and with the calls that log.
 */
#ifndef APRICOT_LOGEVENT_H
#define APRICOT_LOGEVENT_H

/* X(event, description) */
#define LOG_EVENT_LIST(X)                                                                          \
	X("started", "the process has started to serve; its addresses")                            \
	X("stopped", "the process ends")                                                           \
	X("stop_announced", "a planned stop began; time until no list in use names this VM")       \
	X("stop_done", "a planned stop is finished; why")                                          \
	X("stop_bound_reached", "a planned stop reached its time limit; number of requests cut")   \
	X("reloaded", "the settings were read again; what caused it")                              \
	X("reload_refused", "changed settings are invalid and were not applied; why")              \
	X("log_dropped", "number of lines dropped since the last line of this kind")               \
	X("request_begun", "a request that must not be repeated was sent to a leaf")               \
	X("requests_begun", "ids of the requests that arrived since the last line of this kind")   \
	X("requests_brief",                                                                        \
	  "ends of requests without a line of their own: id:outcome:status:in/of")                 \
	X("request_done",                                                                          \
	  "the end of one request: route, version, shards in, calls, trace of decisions")          \
	X("request_refused",                                                                       \
	  "one request was refused, such as one that matches no route or lacks a field")           \
	X("input_refused", "bytes from a caller were no valid request; the status sent")           \
	X("config_applied", "a configuration version is in force, and the one before")             \
	X("config_refused", "a configuration cannot be read; the one before stays in force")       \
	X("evacuation_begun", "the operator wants no call to the leaves of a data centre")         \
	X("evacuation_ended", "calls to the leaves of a data centre are allowed again")            \
	X("evacuation_refused", "a request to evacuate has no usable name or is one too many")     \
	X("regions_unknown",                                                                       \
	  "routes are restricted, but the settings name no region: all refused")                   \
	X("regions_known", "no route is restricted any more, or the settings name regions")        \
	X("regions_changed", "leaves are in other regions by the settings; how many")              \
	X("held_short", "answers wait or requests are refused, since too many bytes are held")     \
	X("held_ample", "less than half of the bound is held again; what happened since")          \
	X("leaf_changed", "a leaf is new, has restarted, or changed its state")                    \
	X("leaf_limited", "a leaf names a limit of calls per second; this VM's part of it")        \
	X("leaf_unlimited", "a leaf no longer names a limit")                                      \
	X("leaf_cold", "a leaf is cold; how long, what it takes, and this VM's part of it")        \
	X("leaf_warm", "a leaf is warm again or gone; its limit while cold has ended")             \
	X("leaf_load_told", "a leaf names its load in an answer for the first time")               \
	X("leaf_load_refused", "a leaf names a load that cannot be used, for the first time")      \
	X("spread_begun", "calls are spread over the leaves of a service; how uneven its load is") \
	X("spread_ended", "calls go to the fastest leaf of a service again")                       \
	X("leaf_paused", "a leaf refused a call and wants none for a time")                        \
	X("leaf_leaving", "a leaf says in an answer that it leaves; it gets no further calls")     \
	X("leaf_gone", "a leaf was removed; the store's revision")                                 \
	X("leaf_doubted", "a leaf is quarantined for a time or its address is another's; why")     \
	X("leaf_entry_refused", "an entry of the store does not describe a usable leaf; why")      \
	X("rank_short", "requests of a rank are refused for lack of room; why, and who holds it")  \
	X("rank_served", "requests of a rank have not been refused for 2 s")                       \
	X("store_entry_unreadable",                                                                \
	  "an entry of the store's answer was left out; its key or place")                         \
	X("store_lost", "the store does not answer; the last revision known")                      \
	X("store_back", "the store answers again; how long it did not")                            \
	X("store_listed", "all keys of the store were read")                                       \
	X("store_history_lost", "the store has dropped its history; all keys are read again")      \
	X("store_change_ignored",                                                                  \
	  "a key in an answer of the store is older than what is known of it")                     \
	X("store_era_begun", "the store is back from an older copy; all keys are read again")      \
	X("store_era_refused",                                                                     \
	  "the store names an era before the one known; its answer is unused")                     \
	X("store_era_unusable", "the store names no era, or one that cannot be read")              \
	X("store_copy_outdated", "a value of the store's older copy is not used; why")             \
	X("store_reading", "whether this VM now reads the store or gets changes from peers; why")  \
	X("readers_lost", "no reader answers as current any more; other VMs are asked as well")    \
	X("second_reader_asked",                                                                   \
	  "changes that a reader knows have not arrived from the first one; another is asked")     \
	X("entries_chosen", "number of entry VMs, those whose addresses callers get")              \
	X("vm_short", "less of this VM is left for callers; what is short, and the use")           \
	X("vm_recovered", "more of this VM is left for callers again")                             \
	X("member_changed", "another VM is live, leaving, suspected or removed")                   \
	X("pause_detected", "this process did not run for longer than its lease")                  \
	X("backend_leaving", "own interface: a backend server is marked as leaving")               \
	X("backend_live", "own interface: a backend server is no longer marked as leaving")        \
	X("platform_down", "own interface: the configuration service does not answer")             \
	X("platform_up", "own interface: the configuration service answers again")

#endif
