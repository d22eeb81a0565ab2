/* The check and the entry point that all fuzz targets share. */
#ifndef APRICOT_TESTS_FUZZ_H
#define APRICOT_TESTS_FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

/* Checks a property that must hold for any input. libFuzzer reports the abort with the input. */
#define FUZZ_CHECK(condition)     \
	do {                      \
		if (!(condition)) \
			abort();  \
	} while (0)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
