/*
 * Messages between services. A message owns what its fields point to, unless a comment says
 * otherwise, and message_destroy frees both. A receiver that wants to keep what a field points to
 * takes the pointer and sets the field to NULL.
 *
 * Functions that create a message copy strings and take over the other pointers, unless a comment
 * says otherwise.
 */
#ifndef APRICOT_MESSAGE_H
#define APRICOT_MESSAGE_H

#include "adapter.h"
#include "kernel.h"
#include "leafset.h"
#include "manifest.h"
#include "result.h"
#include "roster.h"
#include "routemap.h"
#include "settings.h"

#include <jansson.h>

G_BEGIN_DECLS

enum message_kind {
	MESSAGE_CALLER_REQUEST,
	MESSAGE_CALLER_ANSWER,
	MESSAGE_PEER_CALL,
	MESSAGE_PEER_REPLY,
	MESSAGE_CONFIG_APPLIED,
	MESSAGE_ROSTER_CHANGED,
	MESSAGE_STATUS_REQUEST,
	MESSAGE_STATUS_REPLY,
	MESSAGE_STOP_ANNOUNCED,
	MESSAGE_NEW_REQUESTS_REFUSED,
	MESSAGE_RENEWAL_REQUESTED,
	MESSAGE_STATE_RENEWED,
	MESSAGE_VMS_READ,
	MESSAGE_ROUTES_READ,
	MESSAGE_LEAF_UPDATES,
	MESSAGE_LEAF_DCS_CHANGED,
	MESSAGE_ENTRIES_CHOSEN,
	MESSAGE_STORE_UPDATE,
	MESSAGE_STORE_READING,
	MESSAGE_SETTINGS_READ,
	MESSAGE_EVACUATION_CHANGED,
	MESSAGE_WEIGHT_CHANGED,
};

/* A search or command of a caller. Its syntax was checked, but not against the manifest. */
struct caller_request {
	struct message message;
	struct service *reply_to; /* borrowed */
	uint64_t tag; /* copied to the answer */
	char *service;
	char *klass; /* priority class; "": the first class of the service */
	char *caller;
	char *body; /* JSON text of the query or command */
	char *id; /* command only */
	char *key; /* command only: determines the shard */
	uint64_t arrived_us;
	uint32_t deadline_ms; /* time for the answer; 0: the default of the service */
};

struct caller_answer {
	struct message message;
	uint64_t tag;
	enum result result;
	json_t *body;
	char *service; /* for the latency histogram; NULL when the service is unknown */
	char *klass;
	uint64_t arrived_us;
};

/*
 * One RPC. A service sends it to the service "peer" in order to call another VM; "peer" sends it to
 * the service that serves the procedure when another VM calls this one.
 */
struct peer_call {
	struct message message;
	struct service *reply_to; /* borrowed; NULL when no reply is wanted */
	uint64_t tag;
	uint32_t procedure;
	char *address; /* RPC address of the VM to call; NULL in a call from another VM */
	void *args; /* the procedure's apr_* struct of arguments */
	uint64_t timeout_us; /* 0 in a call from another VM */
};

/* How a call ended; the same values in the same order as enum rpc_status. */
enum peer_status { PEER_STATUS_DONE, PEER_STATUS_NOT_SENT, PEER_STATUS_LOST };

struct peer_reply {
	struct message message;
	uint64_t tag;
	uint32_t procedure;
	enum peer_status status;
	void *result; /* the procedure's apr_* struct; NULL unless status is PEER_STATUS_DONE */
};

/* A manifest has come into force. */
struct config_applied {
	struct message message;
	struct manifest *manifest;
};

/* The roster of the member VMs has changed. */
struct roster_changed {
	struct message message;
	struct roster *roster;
};

/* Asks a service for a report of its state. */
struct status_request {
	struct message message;
	struct service *reply_to; /* borrowed */
	uint64_t tag;
	char *topic; /* what to report, such as "metrics"; depends on the service */
};

struct status_reply {
	struct message message;
	uint64_t tag;
	json_t *body;
};

/*
 * The platform or a peer answered a request that was sent at asked_ms. What this VM knows from the
 * answer was current at asked_ms or later.
 */
struct state_renewed {
	struct message message;
	uint64_t asked_ms;
};

/* The platform's VM list was read. */
struct vms_read {
	struct message message;
	uint64_t version; /* given by the platform; a lower version is older */
	json_t *vms;
};

/* A routing configuration was read from the store. */
struct routes_read {
	struct message message;
	struct routemap *map;
};

/* One leaf as the store describes it now, or its removal. */
struct leaf_updates_item {
	char *id;
	bool is_removed;
	uint64_t revision; /* of the store at this change */
	struct leaf_report report; /* empty when is_removed */
};

/* Leaves that were added, changed or removed. */
struct leaf_updates {
	struct message message;
	GPtrArray *items; /* struct leaf_updates_item, owned */
};

/* The list of data centres with many ready leaves has changed; see leafset_major_dcs. */
struct leaf_dcs_changed {
	struct message message;
	char **dcs; /* in alphabetical order; ends with NULL */
};

/* The choice of the entry VMs, those whose addresses callers get, or the number of VMs changed. */
struct entries_chosen {
	struct message message;
	unsigned int n_entries;
	unsigned int n_vms; /* all of them */
	bool is_entry; /* this VM was chosen */
};

/* An answer of the store, read by this VM ("feed" to "relay") or by a peer ("relay" to "feed"). */
struct store_update {
	struct message message;
	struct store_answer answer;
	bool is_listing; /* the answer holds every key */
	bool is_current; /* false: the sender has lost the store, and the answer is empty */
	uint64_t asked_ms; /* when the peer was asked for the answer; unused for one of the store */
};

/* Tells "feed" whether this VM has to read the store itself. */
struct store_reading {
	struct message message;
	bool is_wanted;
};

/* The operator asks to evacuate a data centre, or has withdrawn that. */
struct evacuation_changed {
	struct message message;
	char *dc;
	bool is_begun;
	uint64_t revision; /* of the store at this change */
};

/* The share of this VM that is left for callers has changed; see vmload.h. */
struct weight_changed {
	struct message message;
	uint32_t weight_left; /* thousandths of a core */
};

/* The settings were read again. Holds those that can change while the process runs. */
struct settings_read {
	struct message message;
	char *peers; /* RPC addresses, comma-separated, or NULL */
	double repeat_ratio; /* repeated leaf calls that a service may have per request */
	double repeat_slack; /* repeats allowed beyond that, all VMs together */
	uint64_t repeat_window_ms;
	uint64_t entry_ttl_ms;
	char *dc_regions; /* regions of the data centres, see region.h; or NULL */
};

struct caller_request *caller_request_create(void);
/* Copies the request's tag and arrival time. */
struct caller_answer *caller_answer_create(const struct caller_request *request, enum result result,
					   json_t *body);
struct peer_call *peer_call_create(uint32_t procedure, const char *address, void *args,
				   uint64_t timeout_us);
struct peer_reply *peer_reply_create(uint64_t tag, uint32_t procedure, enum peer_status status,
				     void *result);
/* Takes a reference to the manifest. */
struct config_applied *config_applied_create(struct manifest *m);
/* Takes a reference to the roster. */
struct roster_changed *roster_changed_create(struct roster *r);
struct status_request *status_request_create(struct service *reply_to, uint64_t tag,
					     const char *topic);
struct status_reply *status_reply_create(uint64_t tag, json_t *body);
/* Takes a reference to the list. */
struct vms_read *vms_read_create(json_t *vms, uint64_t version);
struct leaf_dcs_changed *leaf_dcs_changed_create(char **dcs);
struct entries_chosen *entries_chosen_create(unsigned int n_entries, unsigned int n_vms,
					     bool is_entry);
/* Takes over the content of the answer and clears *answer; sets is_current. */
struct store_update *store_update_create(struct store_answer *answer, bool is_listing);

struct store_reading *store_reading_create(bool is_wanted);
struct evacuation_changed *evacuation_changed_create(const char *dc, bool is_begun,
						     uint64_t revision);
struct weight_changed *weight_changed_create(uint32_t weight_left);
/* Copies what it needs from the settings. */
struct settings_read *settings_read_create(const struct settings *settings);
/* Takes a reference to the map. */
struct routes_read *routes_read_create(struct routemap *map);
struct leaf_updates *leaf_updates_create(void);
/* Adds an item for the leaf with this id; the message owns it. */
struct leaf_updates_item *leaf_updates_add(struct leaf_updates *updates, const char *id,
					   uint64_t revision);
/*
 * Asks the services that read from the platform or the other VMs to do so now. Needed after this
 * process was paused (see pausewatch.h), since what it knows may be out of date.
 */
void renewal_request(struct kernel *k);
/*
 * Sends state_renewed to the services that dispatch commands or name VMs to callers. After a pause
 * they do neither until a request sent after that pause was answered.
 */
void state_renewed_broadcast(struct kernel *k, uint64_t asked_ms);
/* A message without fields. */
struct message *message_create(enum message_kind kind);

/*
 * Allocate the zeroed struct for the arguments or the result of a procedure of apricot.x, and free
 * it with all that it points to. Destroy accepts NULL.
 */
void *peer_args_create(uint32_t procedure);
void peer_args_destroy(uint32_t procedure, void *args);
void *peer_result_create(uint32_t procedure);
void peer_result_destroy(uint32_t procedure, void *result);

G_END_DECLS

#endif
