#include "result.h"

GQuark result_error_quark(void)
{
	return g_quark_from_static_string("apricot-result");
}

const char *result_name(enum result result)
{
	switch (result) {
#define X(symbol, number, name, text) \
	case RESULT_##symbol:         \
		return name;
		RESULT_LIST(X)
#undef X
	}
	return "?";
}

const char *result_text(enum result result)
{
	switch (result) {
#define X(symbol, number, name, text) \
	case RESULT_##symbol:         \
		return text;
		RESULT_LIST(X)
#undef X
	}
	return "?";
}

const char *outcome_name(enum outcome outcome)
{
	switch (outcome) {
#define X(symbol, name)        \
	case OUTCOME_##symbol: \
		return name;
		OUTCOME_LIST(X)
#undef X
	}
	return "?";
}

gboolean result_is_not_run(enum result result)
{
	return result >= 200 && result < 300;
}
