/*
 * How short this VM is of processor, link and memory, and what share of it is left for callers.
 *
 * Answers demand that moves between data centres while the entry VMs were chosen once, by size: the
 * VMs of one data centre run out of processor time or bandwidth while others have both. The share
 * is lowered in few steps and raised late, since callers keep an address list for its time to live
 * and act on a change only then: a share that followed the load at once would send them to and fro.
 *
 * Times are in milliseconds.
 */
#ifndef APRICOT_VMLOAD_H
#define APRICOT_VMLOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* The shares are whole, a half and a quarter of the weight. */
#define VMLOAD_STEP_MAX 2

/* X(symbol, name) */
#define VMLOAD_RESOURCE_LIST(X)   \
	X(PROCESSOR, "processor") \
	X(LINK, "link")           \
	X(MEMORY, "memory")

enum vmload_resource {
#define X(symbol, name) VMLOAD_##symbol,
	VMLOAD_RESOURCE_LIST(X)
#undef X
		VMLOAD_RESOURCE_COUNT
};

struct vmload_limits {
	uint32_t weight; /* processor share, thousandths of a core */
	double link_mbps; /* megabits a second, both directions together; 0: unknown */
	uint64_t memory_mb; /* 0: unknown */
	uint64_t list_ttl_ms; /* how long callers keep an address list */
};

/* What the process has used. */
struct vmload_sample {
	uint64_t processor_us; /* since its start */
	uint64_t link_bytes; /* sent and received since its start */
	uint64_t resident_bytes; /* now */
};

struct vmload;

/* limits: copied. Destroy accepts NULL. */
struct vmload *vmload_create(const struct vmload_limits *limits, uint64_t now_ms);
void vmload_destroy(struct vmload *l);

/* Takes a sample, about every 500 ms. Returns true when the share has changed. */
bool vmload_note(struct vmload *l, const struct vmload_sample *sample, uint64_t now_ms);

/* What is left for callers, thousandths of a core; the weight of the limits while it is whole. */
uint32_t vmload_weight_left(const struct vmload *l);
/* 0: the share is whole; VMLOAD_STEP_MAX: the least. */
unsigned int vmload_step(const struct vmload *l);
/* Use of the last two seconds in per cent of the limit; 0 while unknown. */
unsigned int vmload_used_pct(const struct vmload *l, enum vmload_resource resource);
/* The resource that is used most. */
enum vmload_resource vmload_scarcest(const struct vmload *l);
const char *vmload_resource_name(enum vmload_resource resource);

G_END_DECLS

#endif
