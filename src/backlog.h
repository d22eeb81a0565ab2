/*
 * Decides when a request arrives whether the leaves can still answer it in time.
 *
 * Answers a burst: more searches than the leaves can run, from callers who come back at once. Each
 * leaf has only a few slots, and each search needs nearly all shards. When every search is
 * accepted, each gets some of its calls served and hardly one gets enough of them, so that fewer
 * are answered in time than under the usual load. Here the newest are refused at once, before any
 * call is sent, as long as too few shards would answer in time.
 *
 * What the leaves can do is known from this VM's own calls: how many of them are at the leaf, how
 * many wait here for the leaf's window, and how long the leaf takes from a call to its answer. A
 * leaf that has no call of this VM is tried in any case, so that a slow answer of the past does not
 * keep calls away for good. Times are in microseconds.
 */
#ifndef APRICOT_BACKLOG_H
#define APRICOT_BACKLOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* This VM's calls to one leaf. */
struct backlog {
	unsigned int n_sent; /* at the leaf */
	unsigned int n_waiting; /* here, until the window allows them */
	unsigned int window; /* calls that may be at the leaf; at least 1 */
	double service_us; /* usual time from sending a call to its answer; 0: unknown */
};

/* What this VM has refused. Starts with zeros; needs no cleanup. */
struct backlog_gate {
	uint64_t refused_at_us; /* last refusal; 0: none */
	uint64_t n_refused;
};

/* Expected time until a further call is answered. */
uint64_t backlog_answer_us(const struct backlog *b);

/*
 * Time within which a leaf must be expected to answer for its shard to count as in time. useful_us:
 * time within which the request's answer is useful. While requests are refused it is shorter, since
 * the other VMs then send to the same leaves as much as they can.
 */
uint64_t backlog_useful_us(const struct backlog_gate *g, uint64_t useful_us, uint64_t now_us);

/*
 * The same for a caller that comes back after a refusal, whose answer is in time only within
 * left_us from now on. While requests are refused, one that would be late anyway is accepted only
 * where others leave room, since it would take the place of one that can be in time.
 */
uint64_t backlog_repeat_useful_us(const struct backlog_gate *g, uint64_t useful_us,
				  uint64_t left_us, uint64_t now_us);

/*
 * True when the request is to be accepted, otherwise it is noted as refused. n_in_time: shards
 * whose leaf is expected to answer in time. n_shards includes those without a leaf.
 */
bool backlog_admit(struct backlog_gate *g, unsigned int n_in_time, unsigned int n_shards,
		   double min_share, uint64_t now_us);

/* Notes a refusal that was decided elsewhere. */
void backlog_refused(struct backlog_gate *g, uint64_t now_us);
/* True for some time after a refusal. */
bool backlog_is_overloaded(const struct backlog_gate *g, uint64_t now_us);

/* False while a second call to this leaf would only take the place of another request's call. */
bool backlog_allows_hedge(const struct backlog_gate *g, const struct backlog *b, uint64_t now_us);

G_END_DECLS

#endif
