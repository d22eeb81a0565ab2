/*
 * Messages between services. A message owns what its fields point to, unless a comment says
 * otherwise; message_destroy frees it. A receiver keeps a field by taking it and clearing it.
 */
#ifndef APRICOT_MESSAGE_H
#define APRICOT_MESSAGE_H

#include "edge.h"
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
	MESSAGE_RENEWAL_WANTED,
	MESSAGE_KNOWLEDGE_RENEWED,
	MESSAGE_VMS_READ,
	MESSAGE_ROUTES_READ,
	MESSAGE_LEAF_NEWS,
	MESSAGE_LEAF_PLACES,
	MESSAGE_ENTRIES_CHOSEN,
	MESSAGE_STORE_NEWS,
	MESSAGE_STORE_READING,
	MESSAGE_SETTINGS_READ,
};

/* A search or command of a caller, checked for form but not against the manifest. */
struct caller_request {
	struct message message;
	struct service *reply_to; /* borrowed */
	uint64_t tag; /* repeated in the answer */
	char *service;
	char *klass; /* "" for the first class of the service */
	char *caller;
	char *body; /* JSON text of the query or command */
	char *id; /* command only */
	char *key; /* command only: decides the shard */
	uint64_t arrived_us;
	uint32_t deadline_ms; /* 0: the service's */
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

/* One RPC: from a service to a VM, or from a VM to the service that serves the procedure. */
struct peer_call {
	struct message message;
	struct service *reply_to; /* borrowed; NULL when no reply is wanted */
	uint64_t tag;
	uint32_t procedure;
	char *address; /* NULL on the serving side */
	void *args; /* an apr_* struct of the procedure */
	uint64_t timeout_us;
};

enum peer_status { PEER_STATUS_DONE, PEER_STATUS_NOT_SENT, PEER_STATUS_LOST };

struct peer_reply {
	struct message message;
	uint64_t tag;
	uint32_t procedure;
	enum peer_status status;
	void *result; /* NULL unless the status is DONE */
};

struct config_applied {
	struct message message;
	struct manifest *manifest;
};

struct roster_changed {
	struct message message;
	struct roster *roster;
};

struct status_request {
	struct message message;
	struct service *reply_to; /* borrowed */
	uint64_t tag;
	char *about; /* what is asked for; service-specific */
};

struct status_reply {
	struct message message;
	uint64_t tag;
	json_t *body;
};

/* The platform or a peer answered a request that was sent at asked_ms. */
struct knowledge_renewed {
	struct message message;
	uint64_t asked_ms;
};

/* The platform's VM list, as read. */
struct vms_read {
	struct message message;
	uint64_t version; /* of the platform; a lower one is older */
	json_t *vms;
};

/* A routing configuration that the store holds. */
struct routes_read {
	struct message message;
	struct routemap *map;
};

/* One leaf as the store describes it, or its removal. */
struct leaf_news_item {
	char *id;
	bool is_removed;
	uint64_t revision; /* of the store */
	struct leaf_report report;
};

struct leaf_news {
	struct message message;
	GPtrArray *items; /* struct leaf_news_item */
};

struct caller_request *caller_request_create(void);
struct caller_answer *caller_answer_create(const struct caller_request *request, enum result result,
					   json_t *body);
struct peer_call *peer_call_create(uint32_t procedure, const char *address, void *args,
				   uint64_t timeout_us);
struct peer_reply *peer_reply_create(uint64_t tag, uint32_t procedure, enum peer_status status,
				     void *result);
struct config_applied *config_applied_create(struct manifest *m);
struct roster_changed *roster_changed_create(struct roster *r);
struct status_request *status_request_create(struct service *reply_to, uint64_t tag,
					     const char *about);
struct status_reply *status_reply_create(uint64_t tag, json_t *body);
struct vms_read *vms_read_create(json_t *vms, uint64_t version);
/* Data centres in which most services have a leaf. */
struct leaf_places {
	struct message message;
	char **dcs; /* ended by NULL */
};

/* Takes over the list. */
struct leaf_places *leaf_places_create(char **dcs);
/* How many VMs callers are told of now. */
struct entries_chosen {
	struct message message;
	unsigned int n;
};

struct entries_chosen *entries_chosen_create(unsigned int n);
/* What the store, or a peer that reads it, has said. */
struct store_news {
	struct message message;
	struct store_answer answer;
	bool is_listing; /* the answer holds every key */
	bool is_current; /* false: the sender has lost the store; the answer is empty */
};

/* Takes over the answer's items. */
struct store_news *store_news_create(struct store_answer *answer, bool is_listing);

/* Whether this VM reads the store itself. */
struct store_reading {
	struct message message;
	bool is_wanted;
};

struct store_reading *store_reading_create(bool is_wanted);
/* Settings were read again. */
struct settings_read {
	struct message message;
	char *peers; /* RPC addresses, comma-separated, or NULL */
	double repeat_ratio;
	double repeat_slack;
	uint64_t repeat_window_ms;
	uint64_t entry_ttl_ms;
};

struct settings_read *settings_read_create(const struct settings *settings);
/* Takes a reference. */
struct routes_read *routes_read_create(struct routemap *map);
struct leaf_news *leaf_news_create(void);
/* An item with the id, owned by the news. */
struct leaf_news_item *leaf_news_add(struct leaf_news *news, const char *id, uint64_t revision);
/* Asks the services that hear from others for news, after a pause of this process. */
void renewal_want(struct kernel *k);
/* Tells the services that dispatch commands. */
void knowledge_renewed_broadcast(struct kernel *k, uint64_t asked_ms);
/* A message without fields. */
struct message *message_create(enum message_kind kind);

/*
 * Allocates arguments or a result of an RPC procedure, and frees them with all they point to.
 * NULL has no effect on free. The procedures are those of apricot.x.
 */
void *peer_args_create(uint32_t procedure);
void peer_args_destroy(uint32_t procedure, void *args);
void *peer_result_create(uint32_t procedure);
void peer_result_destroy(uint32_t procedure, void *result);

G_END_DECLS

#endif
