# make demo: install packages, build, run a small deployment of fakes and daemons once
# make check: install packages, build, run all tests
# make lint: formatter and linters   make bench: experiments   make install PREFIX=/usr/local

PREFIX ?= /usr/local
B ?= build
CC = gcc
CXX = g++
PKGS = glib-2.0 jansson libtirpc libevent
SAN ?=
OPT ?= -O2 -g
PKG_CFLAGS = $(shell pkg-config --cflags $(PKGS))
CPPFLAGS = -D_GNU_SOURCE -Isrc -Iplatform $(PKG_CFLAGS)
WARN = -Wall -Wextra -Werror -Wno-unused-parameter
CFLAGS = -std=gnu11 $(OPT) $(SAN) $(WARN) -Wmissing-prototypes -Wstrict-prototypes
CXXFLAGS = -std=c++17 $(OPT) $(SAN) $(WARN)
LDLIBS = $(SAN) $(shell pkg-config --libs $(PKGS)) -lhttp_parser -lm

# Files that use sockets or clocks. All other files of src/ are part of libapricot.
TASKS = kernel message request log peer rpc clock http front searcher commander holder leafgroup leafpool marks configurer membership stopper settings \
	inputlimit stream httpserver httpconn upstream job jobcall jobanswer gateway gatewaymetrics feed relay directory reload loadmeter
MAINS = main ctl

ALL_SRCS = $(wildcard src/*.c)
TASK_SRCS = $(wildcard $(TASKS:%=src/%.c))
MAIN_SRCS = $(wildcard $(MAINS:%=src/%.c))
LIB_SRCS = $(filter-out $(TASK_SRCS) $(MAIN_SRCS),$(ALL_SRCS))
GEN_SRCS = $(wildcard src/proto/*.c)
LIB_OBJS = $(LIB_SRCS:%.c=$B/%.o)
PLATFORM_SRCS = $(wildcard platform/*.c)
TASK_OBJS = $(TASK_SRCS:%.c=$B/%.o) $(GEN_SRCS:%.c=$B/%.o) $(PLATFORM_SRCS:%.c=$B/%.o)
FAKE_PROGS = $(patsubst fakes/fake_%.c,$B/fake-%,$(wildcard fakes/fake_*.c))
FAKE_COMMON = $(patsubst %.c,$B/%.o,$(filter-out $(wildcard fakes/fake_*.c),$(wildcard fakes/*.c)))
BENCH_COMMON = $(patsubst %.c,$B/%.o,$(wildcard bench/common/*.c))
BENCH_PROGS = $(patsubst bench/%.c,$B/bench-%,$(wildcard bench/*.c))
EXAMPLES = $(patsubst examples/%.c,$B/example-%,$(wildcard examples/*.c))
PROGS = $(patsubst %,$B/%,$(if $(wildcard src/main.c),apricotd) $(if $(wildcard src/ctl.c),apricotctl))
TEST_SRCS = $(wildcard tests/*.cc)
TEST_OBJS = $(TEST_SRCS:%.cc=$B/%.o)

all: $(PROGS) $(FAKE_PROGS) $(BENCH_PROGS) $(EXAMPLES) $B/libapricot.a

deps:
	@scripts/install-deps

$B/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

# rpcgen's output declares variables that it does not use.
$B/src/proto/%.o: CFLAGS += -Wno-unused-variable -Wno-missing-prototypes

$B/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) -Ifakes $(CXXFLAGS) -DTEST_DIR='"$(CURDIR)/tests"' -DBUILD_DIR='"$(abspath $B)"' \
		-DDOCS_DIR='"$(CURDIR)/docs"' -MMD -MP -c -o $@ $<

$B/libapricot.a: $(LIB_OBJS)
	rm -f $@
	ar rcs $@ $^

$B/libtasks.a: $(TASK_OBJS)
	rm -f $@
	ar rcs $@ $^

$B/apricotd: $B/src/main.o $B/libtasks.a $B/libapricot.a
	$(CC) -o $@ $^ $(LDLIBS)

$B/apricotctl: $B/src/ctl.o $B/libtasks.a $B/libapricot.a
	$(CC) -o $@ $^ $(LDLIBS)

$B/fake-%: $B/fakes/fake_%.o $(FAKE_COMMON) $B/libtasks.a $B/libapricot.a
	$(CC) -o $@ $^ $(LDLIBS)

$B/bench/%.o: CPPFLAGS += -Ifakes

$B/bench-%: $B/bench/%.o $(BENCH_COMMON) $(FAKE_COMMON) $B/libtasks.a $B/libapricot.a
	$(CC) -o $@ $^ $(LDLIBS)

$B/example-%: $B/examples/%.o $B/libapricot.a
	$(CC) -o $@ $^ $(LDLIBS)

# The test of spread runs the model of the bench.
$B/unit: $(TEST_OBJS) $B/bench/common/spreadmodel.o $B/libtasks.a $B/libapricot.a
	$(CXX) -o $@ $^ $(LDLIBS) -lgtest -lpthread

build-tests: all $B/unit

check: deps
	$(MAKE) -j8 build-tests
	scripts/run-tests

bench: all
	$B/bench-listing
	scripts/bench

demo: deps
	$(MAKE) -j8 all
	scripts/demo

FORMATTED = $(wildcard src/*.[ch] platform/*.[ch] fakes/*.[ch] bench/*.[ch] bench/common/*.[ch] examples/*.c tests/*.cc tests/*.h \
	tests/fuzz/*.[ch])

format:
	clang-format -i $(FORMATTED)

lint:
	clang-format --dry-run -Werror $(FORMATTED)
	cppcheck --quiet --std=c11 --enable=warning,performance,portability --inline-suppr \
		--suppress=missingInclude --suppress=unknownMacro -j 8 --error-exitcode=1 -Isrc -Iplatform -Ifakes \
		$(wildcard src/*.c platform/*.c fakes/*.c bench/*.c bench/common/*.c examples/*.c)
	@mkdir -p $B
	printf '%s\n' $(wildcard src/*.c platform/*.c fakes/*.c bench/*.c bench/common/*.c examples/*.c) | \
		xargs -P 8 -n 4 sh -c 'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -Ifakes -std=gnu11 2>$B/tidy.$$$$ || \
		{ cat $B/tidy.$$$$; rm -f $B/tidy.$$$$; exit 255; }; rm -f $B/tidy.$$$$' tidy

# Run this by hand after a change of apricot.x: the generated files are committed.
rpcgen:
	cd src/proto && rm -f apricot.h apricot_xdr.c && rpcgen -C -h -o apricot.h apricot.x && \
		rpcgen -C -c -o apricot_xdr.c apricot.x

install: all
	install -d $(PREFIX)/bin $(PREFIX)/lib $(PREFIX)/include/apricot $(PREFIX)/share/man/man1
	install $B/apricotd $B/apricotctl $(PREFIX)/bin
	install -m 644 $B/libapricot.a $(PREFIX)/lib
	install -m 644 $(filter-out $(TASKS:%=src/%.h) src/procedure.h src/jobstate.h src/gatewaystate.h,$(wildcard src/*.h)) $(PREFIX)/include/apricot
	install -m 644 docs/apricot.1 $(PREFIX)/share/man/man1

clean:
	rm -rf $B

.PHONY: all deps check demo format lint rpcgen install clean build-tests bench
-include $(shell find $B -name '*.d' 2>/dev/null)
