#include "routedresult.h"

#include <string.h>

static const struct {
	unsigned int status;
	enum routed_run run;
} results[] = {
#define X(symbol, status, run, name, text) {status, ROUTED_RUN_##run},
	ROUTED_RESULT_LIST(X)
#undef X
};

static const enum routed_run call_runs[] = {
#define X(symbol, run, name, text) ROUTED_RUN_##run,
	ROUTED_CALL_LIST(X)
#undef X
};

unsigned int routed_status(enum routed_result result)
{
	return results[result].status;
}

enum routed_run routed_run(enum routed_result result)
{
	return results[result].run;
}

enum routed_run routed_call_run(enum routed_call call)
{
	return call_runs[call];
}

bool routed_status_promises_not_run(unsigned int status)
{
	switch (status) {
#define X(promise) case promise:
		ROUTED_PROMISE_LIST(X)
#undef X
		return true;
	default:
		return false;
	}
}

/* Any other value promises nothing: "0" denies it, and an empty one is a fault of the leaf. */
static bool is_promise(const char *value)
{
	size_t n;

	if (!value)
		return false;
	value += strspn(value, " \t");
	n = strcspn(value, " \t");
	return n == 1 && value[0] == '1' && value[n + strspn(value + n, " \t")] == '\0';
}

enum routed_call routed_call_of(const struct routed_call_facts *facts)
{
	if (!facts->status)
		return facts->was_sent ? ROUTED_CALL_UNANSWERED : ROUTED_CALL_UNSENT;
	if (facts->status == 421)
		return ROUTED_CALL_OTHER_LEAF;
	if (is_promise(facts->not_run))
		return ROUTED_CALL_NOT_EXECUTED;
	if (routed_status_promises_not_run(facts->status))
		return ROUTED_CALL_UNPROVED;
	if (facts->status >= 200 && facts->status < 300 && facts->is_signed && !facts->is_encoded)
		return ROUTED_CALL_SERVED;
	return ROUTED_CALL_FAILED;
}
