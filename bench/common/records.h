/*
 * Counts of leaf calls in the fake backend servers, read from their control ports twice a second.
 */
#ifndef APRICOT_BENCH_RECORDS_H
#define APRICOT_BENCH_RECORDS_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>

struct records;

/*
 * ports: control ports as "P1,P2". Returns NULL if they are malformed. The base must outlive the
 * records; the caller owns the result.
 */
struct records *records_create(struct event_base *base, json_t *manifest, const char *ports);
void records_destroy(struct records *r);
/* Reads all records now and again every 0.5 s. */
void records_start(struct records *r);

/*
 * Returns a new reference: the leaf calls that the backend servers of the service received since
 * records_start(), and their ratio to the calls needed. A backend server that has ended counts with
 * its last record.
 */
json_t *records_result(const struct records *r, const char *service, uint64_t needed);

/* address is IP:PORT. The caller owns the connection. */
struct evhttp_connection *address_connect(struct event_base *base, const char *address);
/* Returns the body as a new reference, or NULL if the answer is not complete or not JSON. */
json_t *answer_parse(struct evhttp_request *req);

#endif
