/* Embeds libapricot: remembers command ids, so that a command is dispatched at most once. */
#include "command.h"

#include <stdio.h>

int main(void)
{
	struct command_log *log = command_log_create(0x1234, 120000, 1000);
	const struct command_result *recorded;
	enum result reason;
	const char *id = "0000000000001234.0.abcdefgh";

	if (command_log_begin(log, id, 10, &recorded, &reason) == COMMAND_DISPATCH)
		command_log_finish(log, id, OUTCOME_DONE, RESULT_OK, "\"lent\"");
	if (command_log_begin(log, id, 20, &recorded, &reason) == COMMAND_FINISHED)
		printf("%s %s\n", outcome_name(recorded->outcome), recorded->body);
	command_log_destroy(log);
	return 0;
}
