/* Command ids of callers and of other VMs: parser and memory. */
#include "command.h"
#include "fuzz.h"

#define INCARNATION UINT64_C(0x00f1e2d3c4b5a697)

/*
 * The input's first byte divides it in two ids, so that an id and its near copy meet in one memory.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct command_log *logs[2];
	const struct command_result *known;
	struct command_id id;
	enum result reason;
	char *texts[2];
	size_t cut;

	if (size < 1)
		return 0;
	cut = MIN(data[0], size - 1);
	texts[0] = g_strndup((const char *)data + 1, cut);
	texts[1] = g_strndup((const char *)data + 1 + cut, size - 1 - cut);
	logs[0] = command_log_create(INCARNATION, 120000, 2);
	logs[1] = command_log_create_holder(120000, 2);
	for (int step = 0; step < 8; step++) {
		struct command_log *l = logs[step % 2];
		const char *text = texts[step / 2 % 2];
		uint64_t now_ms = 81234 + (uint64_t)step / 4 * 100000;

		switch (command_log_begin(l, text, now_ms, &known, &reason)) {
		case COMMAND_DISPATCH:
			FUZZ_CHECK(command_id_parse(text, &id));
			FUZZ_CHECK(step % 2 || id.incarnation == INCARNATION);
			FUZZ_CHECK(command_log_begin(l, text, now_ms, &known, &reason) ==
				   COMMAND_WAIT);
			command_log_finish(l, text, OUTCOME_DONE, RESULT_OK, text);
			break;
		case COMMAND_FINISHED:
			FUZZ_CHECK(known->outcome == OUTCOME_DONE);
			break;
		case COMMAND_REFUSE:
			FUZZ_CHECK(reason != RESULT_OK);
			break;
		default:
			FUZZ_CHECK(false);
		}
	}
	command_log_destroy(logs[0]);
	command_log_destroy(logs[1]);
	g_free(texts[0]);
	g_free(texts[1]);
	return 0;
}
