/* What the stand-ins recorded, read from their control ports twice a second. */
#ifndef APRICOT_BENCH_RECORDS_H
#define APRICOT_BENCH_RECORDS_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>

struct records;

/* ports: "P1,P2"; NULL when malformed. The base must outlive the records. */
struct records *records_create(struct event_base *base, json_t *manifest, const char *ports);
void records_destroy(struct records *r);
void records_start(struct records *r);

/*
 * New reference: leaf calls that the service's backends received since records_start() against
 * the calls needed. A backend that ended keeps its last record.
 */
json_t *records_result(const struct records *r, const char *service, uint64_t needed);

/* ADDRESS is IP:PORT. */
struct evhttp_connection *address_connect(struct event_base *base, const char *address);
/* New reference; NULL without a whole answer in JSON. */
json_t *answer_parse(struct evhttp_request *req);

#endif
