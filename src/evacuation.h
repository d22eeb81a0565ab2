/*
 * The data centres whose leaves the operator has asked to leave alone, as this VM knows them.
 *
 * Answers a data centre that is to be switched off or has lost part of its machines: its leaves
 * still answer and are listed as ready, so that nothing but the operator's request keeps calls
 * away. Times are in milliseconds.
 */
#ifndef APRICOT_EVACUATION_H
#define APRICOT_EVACUATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Most data centres at a time. */
#define EVACUATION_DCS_MAX 64
/* Size of a name, including the terminating NUL; as MEMBER_DC_MAX. */
#define EVACUATION_DC_MAX 32

struct evacuations;

struct evacuation {
	char dc[EVACUATION_DC_MAX];
	uint64_t since_ms; /* when this VM learned of it */
	uint64_t revision; /* of the store at the request */
};

/* X(symbol, name): what a request has changed */
#define EVACUATION_CHANGE_LIST(X)          \
	X(NONE, "none") /* it was known */ \
	X(BEGUN, "begun")                  \
	X(ENDED, "ended")                  \
	X(REFUSED, "refused") /* no usable name, or too many at once */

enum evacuation_change {
#define X(symbol, name) EVACUATION_##symbol,
	EVACUATION_CHANGE_LIST(X)
#undef X
};

/* The caller owns the result; destroy accepts NULL. */
struct evacuations *evacuations_create(void);
void evacuations_destroy(struct evacuations *e);

/* Notes the operator's request; a repeated one keeps the time of the first. */
enum evacuation_change evacuations_begin(struct evacuations *e, const char *dc, uint64_t revision,
					 uint64_t now_ms);
/* Notes that the request was withdrawn. If it was known, *ended is set to it unless ended is NULL.
 */
enum evacuation_change evacuations_end(struct evacuations *e, const char *dc,
				       struct evacuation *ended);

bool evacuations_cover(const struct evacuations *e, const char *dc);
/* Requests that were refused so far. */
uint64_t evacuations_refused(const struct evacuations *e);
unsigned int evacuations_count(const struct evacuations *e);
/* The request with this index, the oldest first; index < evacuations_count(). Borrowed. */
const struct evacuation *evacuations_get(const struct evacuations *e, unsigned int index);

const char *evacuation_change_name(enum evacuation_change change);

G_END_DECLS

#endif
