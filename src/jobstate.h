/*
 * What the three parts of a job share: job (its life and time), jobcall (its leaf calls) and
 * jobanswer (what the caller gets). Nothing else includes this.
 */
#ifndef APRICOT_JOBSTATE_H
#define APRICOT_JOBSTATE_H

#include "job.h"
#include "retryafter.h"
#include "scatter.h"
#include "topk.h"

/* Calls whose request is answered may finish within this time, so that their connections can be
 * used again; longer ones are cancelled. */
#define JOB_LINGER_US 400000
#define JOB_TRIED_MAX 8

struct job_call {
	struct leaf_call call;
	const struct leaf *leaf; /* borrowed; the shard's list of tried leaves holds it */
	struct list_head node; /* in job.calls */
	struct job *job;
	unsigned int shard;
	bool is_repeat; /* counted in the budget */
};

struct job_shard {
	const char *service;
	struct leaf *tried[JOB_TRIED_MAX]; /* references */
	unsigned int n_tried;
	unsigned int n_sent; /* calls that may have run */
	unsigned int n_arrivals; /* calls that were sent, refused ones included */
};

struct job {
	struct list_head node;
	struct job_env *env;
	struct http_request *request; /* NULL once answered or left */
	struct routemap *map;
	const struct route *route;
	struct route_stats *stats;
	struct scatter *scatter;
	struct event *timer;
	struct list_head calls;
	char *id;
	char *method;
	GString *head; /* request line and fields that are the same for every leaf */
	GByteArray *body;
	uint64_t read_us;
	uint64_t deadline_us;
	uint64_t timer_us; /* what the timer is set for */
	uint64_t useful_us; /* an answer so long after reading is in time; 0: there is no goal */
	/* the answer */
	struct topk *top;
	GString *signatures;
	GString *failure_fields; /* of the last leaf answer that was no success; NULL: none */
	GByteArray *failure_body;
	unsigned int failure_status;
	GString *trace; /* decisions besides first calls; NULL: none yet */
	unsigned int n_calls;
	unsigned int n_hedges;
	unsigned int n_moved; /* calls that had waited here went to another leaf */
	unsigned int n_retries;
	unsigned int n_held; /* second calls that waited, since the budget was low */
	unsigned int n_denied; /* repeats that the budget did not allow */
	unsigned int n_shards;
	struct job_shard shards[];
};

static inline bool job_is_over_shards(const struct job *j)
{
	return j->route->shards != NULL;
}

/* job.c */
void job_destroy(struct job *j);
void job_timer_set(struct job *j, uint64_t at_us, uint64_t now_us);
/* Acts on the verdict of scatter; the job may be gone afterwards. */
void job_advance(struct job *j, uint64_t now_us);

/* jobcall.c */

/* Sends one call of the shard; false when no leaf, attempt or budget is left for it. */
bool jobcall_send(struct job *j, unsigned int shard, uint64_t now_us);
/* Second calls, and other leaves for calls that wait here, for all overdue shards. */
void jobcall_hedges_send(struct job *j, uint64_t now_us);
/* Takes back the calls that no leaf has seen. */
void jobcall_unsent_cancel(struct job *j, uint64_t now_us);
/* Ends all calls and the job. */
void jobcall_all_cancel(struct job *j, uint64_t now_us);

/* jobanswer.c: each *_send and jobanswer_finish may free the job. */

void jobanswer_parts_send(struct job *j);
/* A leaf's answer to a request to a single service, as it came. */
void jobanswer_pass(struct job *j, const struct http_reader *answer);
/* The least share cannot be reached any more. */
void jobanswer_unreachable_send(struct job *j);
void jobanswer_timeout_send(struct job *j);
void jobanswer_refuse(struct job *j, enum retry_reason reason);
/* The caller has its answer or has left: what remains are calls that may finish for a while. */
void jobanswer_finish(struct job *j, enum job_outcome outcome, unsigned int status,
		      uint64_t linger_us);

bool jobanswer_is_success(const struct http_reader *answer);
/* Keeps a leaf's answer that is no success, to be passed on when no other attempt betters it. */
void jobanswer_failure_keep(struct job *j, const struct http_reader *answer);
void jobanswer_part_add(struct job *j, const struct http_reader *answer, const char *signature);
/*
 * Notes one decision: "+MS WHAT SERVICE LEAF WHY;". First calls are not noted, except those of a
 * request to a single service.
 */
void jobanswer_trace_add(struct job *j, const char *what, const char *service,
			 const struct leaf *leaf, const char *why, uint64_t now_us);

#endif
