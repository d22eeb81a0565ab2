/*
 * The JSON text that a caller posts. The first byte of the input selects /search (even) or /command
 * (odd).
 */
#include "request.h"

#include "fuzz.h"

#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct caller_request *r;
	char *problem = NULL;
	bool is_command;

	if (size < 1)
		return 0;
	is_command = data[0] & 1;
	r = caller_request_create();
	if (request_parse(r, (const char *)data + 1, size - 1, is_command, &problem)) {
		FUZZ_CHECK(!problem && *r->service && strlen(r->service) < 64);
		FUZZ_CHECK(r->klass && strlen(r->klass) < 64 && r->deadline_ms <= 60000);
		FUZZ_CHECK(r->body && (!is_command || (r->id && r->key)));
		FUZZ_CHECK(strlen(r->body) <= 65536);
	} else {
		/* The response contains the problem as a JSON string. */
		FUZZ_CHECK(problem && g_utf8_validate(problem, -1, NULL));
	}
	g_free(problem);
	message_destroy(&r->message);
	return 0;
}
