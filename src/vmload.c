#include "vmload.h"

#include <string.h>

/*
 * Samples that the use is computed from, over 2 s. A single second of work, such as reading a
 * large configuration, does not count as a shortage.
 */
#define SAMPLES 5
/* A process that has just started works to get its configuration and connections. */
#define SETTLE_MS 5000
/*
 * Use above which the share is lowered, per cent. Waiting times grow fast above it, and callers
 * leave about two seconds after the change.
 */
#define SHORT_PCT 70
/* The share is raised when the use would stay below this. */
#define CALM_PCT 50
/*
 * The same for memory, which the process keeps when its callers leave: its use does not grow with
 * the share.
 */
#define MEMORY_SHORT_PCT 80
#define MEMORY_CALM_PCT 70
/*
 * Some callers keep a list for three times its time to live. A further step down waits until they
 * have acted on the last one, a step up for twice as long.
 */
#define LOWER_LIVES 4
#define RAISE_LIVES 8
#define BITS_PER_BYTE 8
#define US_PER_MS 1000
#define BYTES_PER_MB 1000000

struct vmload {
	struct vmload_limits limits;
	struct vmload_sample samples[SAMPLES]; /* the oldest first */
	uint64_t sampled_ms[SAMPLES];
	unsigned int n_samples;
	unsigned int used_pct[VMLOAD_RESOURCE_COUNT];
	unsigned int step;
	uint64_t started_ms;
	uint64_t changed_ms; /* when step last changed */
	uint64_t busy_ms; /* when a higher share would last have made the VM short */
};

const char *vmload_resource_name(enum vmload_resource resource)
{
	static const char *const names[] = {
#define X(symbol, name) name,
		VMLOAD_RESOURCE_LIST(X)
#undef X
	};

	return names[resource];
}

struct vmload *vmload_create(const struct vmload_limits *limits, uint64_t now_ms)
{
	struct vmload *l = g_new0(struct vmload, 1);

	l->limits = *limits;
	l->started_ms = now_ms;
	return l;
}

void vmload_destroy(struct vmload *l)
{
	g_free(l);
}

static void sample_add(struct vmload *l, const struct vmload_sample *sample, uint64_t now_ms)
{
	if (l->n_samples == SAMPLES) {
		memmove(l->samples, l->samples + 1, (SAMPLES - 1) * sizeof(*l->samples));
		memmove(l->sampled_ms, l->sampled_ms + 1, (SAMPLES - 1) * sizeof(*l->sampled_ms));
		l->n_samples--;
	}
	l->samples[l->n_samples] = *sample;
	l->sampled_ms[l->n_samples++] = now_ms;
}

static unsigned int ratio_pct(double used, double limit)
{
	return limit > 0 && used > 0 ? (unsigned int)(100 * MIN(used / limit, 100) + 0.5) : 0;
}

static void use_compute(struct vmload *l)
{
	const struct vmload_sample *first = &l->samples[0];
	const struct vmload_sample *last = &l->samples[l->n_samples - 1];
	double elapsed_ms = (double)(l->sampled_ms[l->n_samples - 1] - l->sampled_ms[0]);
	double used_ms = ((double)last->processor_us - (double)first->processor_us) / US_PER_MS;
	double n_bytes = (double)last->link_bytes - (double)first->link_bytes;

	l->used_pct[VMLOAD_MEMORY] =
		ratio_pct((double)last->resident_bytes, (double)l->limits.memory_mb * BYTES_PER_MB);
	if (l->n_samples < SAMPLES || elapsed_ms <= 0)
		return;
	l->used_pct[VMLOAD_PROCESSOR] = ratio_pct(used_ms * 1000, l->limits.weight * elapsed_ms);
	/* One megabit a second is 1,000 bits a millisecond. */
	l->used_pct[VMLOAD_LINK] =
		ratio_pct(n_bytes * BITS_PER_BYTE, l->limits.link_mbps * 1000 * elapsed_ms);
}

static bool is_short(const struct vmload *l)
{
	return l->used_pct[VMLOAD_PROCESSOR] >= SHORT_PCT ||
	       l->used_pct[VMLOAD_LINK] >= SHORT_PCT ||
	       l->used_pct[VMLOAD_MEMORY] >= MEMORY_SHORT_PCT;
}

/* Callers come in proportion to the share, which doubles with a step up. */
static bool would_be_calm(const struct vmload *l)
{
	return 2 * l->used_pct[VMLOAD_PROCESSOR] < CALM_PCT &&
	       2 * l->used_pct[VMLOAD_LINK] < CALM_PCT &&
	       l->used_pct[VMLOAD_MEMORY] < MEMORY_CALM_PCT;
}

static bool step_set(struct vmload *l, unsigned int step, uint64_t now_ms)
{
	l->step = step;
	l->changed_ms = now_ms;
	l->busy_ms = now_ms;
	return true;
}

bool vmload_note(struct vmload *l, const struct vmload_sample *sample, uint64_t now_ms)
{
	sample_add(l, sample, now_ms);
	use_compute(l);
	if (!would_be_calm(l))
		l->busy_ms = now_ms;
	if (now_ms < l->started_ms + SETTLE_MS)
		return false;
	if (l->step < VMLOAD_STEP_MAX && is_short(l) &&
	    (l->step == 0 || now_ms >= l->changed_ms + LOWER_LIVES * l->limits.list_ttl_ms))
		return step_set(l, l->step + 1, now_ms);
	if (l->step > 0 && now_ms >= l->busy_ms + RAISE_LIVES * l->limits.list_ttl_ms)
		return step_set(l, l->step - 1, now_ms);
	return false;
}

uint32_t vmload_weight_left(const struct vmload *l)
{
	return l->step > 0 ? MAX(1, l->limits.weight >> l->step) : l->limits.weight;
}

unsigned int vmload_step(const struct vmload *l)
{
	return l->step;
}

unsigned int vmload_used_pct(const struct vmload *l, enum vmload_resource resource)
{
	return l->used_pct[resource];
}

enum vmload_resource vmload_scarcest(const struct vmload *l)
{
	enum vmload_resource scarcest = VMLOAD_PROCESSOR;

	for (unsigned int i = 0; i < VMLOAD_RESOURCE_COUNT; i++)
		if (l->used_pct[i] > l->used_pct[scarcest])
			scarcest = (enum vmload_resource)i;
	return scarcest;
}
