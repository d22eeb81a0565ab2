/*
 * Private header of the two files that implement the gateway: gateway.c (requests and messages) and
 * gatewaymetrics.c (what operators see). Nothing else includes it.
 */
#ifndef APRICOT_GATEWAYSTATE_H
#define APRICOT_GATEWAYSTATE_H

#include "evacuation.h"
#include "gateway.h"
#include "heldbytes.h"
#include "job.h"
#include "message.h"
#include "region.h"

struct gateway {
	struct service service;
	struct job_env env;
	struct http_server *server;
	struct routemap *map; /* NULL before the first configuration */
	struct evacuations *evacuations;
	struct region_table *regions;
	bool lacks_regions; /* a route is restricted, but no region is known */
	struct event *warmup_tick;
	struct heldbytes *held;
	struct event *held_tick; /* pending while bytes are short */
	char **leaf_dcs; /* data centres as last sent to the directory; NULL: not sent yet */
	uint64_t inputs_refused; /* inputs that were not a valid request */
	uint64_t requests_not_ready; /* requests that came before the first configuration */
	uint64_t started_ms;
	uint64_t stop_limit_ms;
	bool others_can_serve; /* another VM that can be reached has a configuration */
	bool is_refusing; /* a planned stop ends: new requests are refused */
};

/* gatewaymetrics.c: answer a request for the metrics as text, or for the status as JSON. */
void gateway_metrics_answer(struct gateway *g, const struct status_request *request);
void gateway_status_answer(struct gateway *g, const struct status_request *request);
/* gatewaymetrics.c: answers with the text of the configuration in force, without one if none is. */
void gateway_configuration_answer(struct gateway *g, const struct status_request *request);

#endif
