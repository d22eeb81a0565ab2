/*
 * Programs and HTTP connections for the tests that start apricotd and the stand-ins as processes.
 * Every function blocks until it is done, at most for its timeout in milliseconds.
 */
#ifndef APRICOT_TESTS_PROCESS_H
#define APRICOT_TESTS_PROCESS_H

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

/* A started program. The destructor kills and reaps it, even when SIGSTOP has stopped it. */
class process
{
      public:
	/*
	 * Starts a program. args[0] is its name in the build directory, or its path if that
	 * contains a slash.
	 */
	explicit process(const std::vector<std::string> &args);
	~process();
	process(const process &) = delete;
	process &operator=(const process &) = delete;

	/* Process id; -1 when the program could not be started or has been reaped. */
	pid_t pid() const;
	/* Next line of the standard output without its '\n'; "" at its end or after the timeout. */
	std::string line_read(int timeout_ms = 5000);
	/* Sends a signal, such as SIGSTOP; false when the process does not exist any more. */
	bool signal_send(int signal_number) const;
	/*
	 * Waits for the end of the process. Returns its exit status, 128 + the number of the signal
	 * that ended it, or -1 when it still runs after the timeout.
	 */
	int exit_wait(int timeout_ms = 5000);

      private:
	pid_t pid_ = -1;
	int status_ = -1;
	int output_ = -1; /* read end of the pipe from the standard output */
	std::string buffer_; /* output that line_read() has not returned yet */
};

struct http_answer {
	int status = 0; /* 0: no complete response within the timeout */
	bool closed = false; /* the peer closed the connection before the response was complete */
	std::map<std::string, std::string> headers; /* names in lower case */
	std::string body;
};

using http_headers = std::vector<std::pair<std::string, std::string>>;

/* One keep-alive connection to a port on 127.0.0.1. */
class http_connection
{
      public:
	explicit http_connection(uint16_t port);
	~http_connection();
	http_connection(const http_connection &) = delete;
	http_connection &operator=(const http_connection &) = delete;

	bool is_open() const;
	/* Sends a request, whose response answer_read() reads; false when sending fails. */
	bool request_send(const std::string &method, const std::string &target,
			  const http_headers &headers = {}, const std::string &body = "");
	http_answer answer_read(int timeout_ms = 5000);
	/* Sends a request and reads its response. */
	http_answer request(const std::string &method, const std::string &target,
			    const http_headers &headers = {}, const std::string &body = "",
			    int timeout_ms = 5000);
	/* Discards what arrives; true when the peer closes the connection within the timeout. */
	bool close_wait(int timeout_ms = 5000);

      private:
	bool buffer_fill(int64_t end_ms);

	int fd_ = -1;
	bool eof_ = false;
	std::string buffer_; /* received bytes that answer_read() has not returned yet */
};

/* Sends one request on a new connection and reads its response. */
http_answer http_request(uint16_t port, const std::string &method, const std::string &target,
			 const http_headers &headers = {}, const std::string &body = "",
			 int timeout_ms = 5000);
http_answer http_get(uint16_t port, const std::string &target, int timeout_ms = 5000);
http_answer http_post(uint16_t port, const std::string &target, const std::string &body = "");
http_answer http_put(uint16_t port, const std::string &target, const std::string &body);

/* Checks the condition every 5 ms until it holds; false after the timeout. */
bool wait_until(const std::function<bool()> &condition, int timeout_ms = 5000);

/* The numbers in a line such as "ports 9001 9002 control 9003", in their order. */
std::vector<uint16_t> ports_parse(const std::string &line);

/*
 * Reserves 400 consecutive ports until this process ends, so that no other test program on this
 * machine uses them, and returns the first. Later calls return the same port; 0 when all ranges are
 * reserved. For programs whose ports a file sets, such as those of gen-deployment.
 */
uint16_t ports_reserve();

/* Monotonic clock in milliseconds. */
int64_t clock_ms();

#endif
