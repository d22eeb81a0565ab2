/* Processes and HTTP for the process tests. Everything is blocking and bounded by a timeout. */
#ifndef APRICOT_TESTS_PROCESS_H
#define APRICOT_TESTS_PROCESS_H

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

/* A started program; the destructor kills and reaps it, also when it is stopped by SIGSTOP. */
class process
{
      public:
	/* args[0] is a program of the build directory or a path with a slash. */
	explicit process(const std::vector<std::string> &args);
	~process();
	process(const process &) = delete;
	process &operator=(const process &) = delete;

	/* -1 when the program was not started or has been reaped. */
	pid_t pid() const;
	/* Next line of the standard output without its '\n'; "" at the end or after the timeout. */
	std::string line_read(int timeout_ms = 5000);
	/* Sends a signal (SIGSTOP, SIGCONT, SIGKILL, SIGTERM) to the process. */
	bool signal_send(int signal_number) const;
	/* Exit status, 128 + signal number, or -1 while it still runs after the timeout. */
	int exit_wait(int timeout_ms = 5000);

      private:
	pid_t pid_ = -1;
	int status_ = -1;
	int output_ = -1;
	std::string buffer_;
};

struct http_answer {
	int status = 0; /* 0: no whole answer within the timeout */
	bool closed = false; /* the peer closed the connection before a whole answer */
	std::map<std::string, std::string> headers; /* names in lower case */
	std::string body;
};

using http_headers = std::vector<std::pair<std::string, std::string>>;

/* One keep-alive connection to a loopback port. */
class http_connection
{
      public:
	explicit http_connection(uint16_t port);
	~http_connection();
	http_connection(const http_connection &) = delete;
	http_connection &operator=(const http_connection &) = delete;

	bool is_open() const;
	/* Sends a request; answer_read() reads its answer. */
	bool request_send(const std::string &method, const std::string &target,
			  const http_headers &headers = {}, const std::string &body = "");
	http_answer answer_read(int timeout_ms = 5000);
	http_answer request(const std::string &method, const std::string &target,
			    const http_headers &headers = {}, const std::string &body = "",
			    int timeout_ms = 5000);
	/* True when the peer has closed the connection within the timeout. */
	bool close_wait(int timeout_ms = 5000);

      private:
	bool more_read(int64_t end_ms);

	int fd_ = -1;
	bool eof_ = false;
	std::string buffer_;
};

/* One request on a new connection. */
http_answer http_request(uint16_t port, const std::string &method, const std::string &target,
			 const http_headers &headers = {}, const std::string &body = "",
			 int timeout_ms = 5000);
http_answer http_get(uint16_t port, const std::string &target, int timeout_ms = 5000);
http_answer http_post(uint16_t port, const std::string &target, const std::string &body = "");
http_answer http_put(uint16_t port, const std::string &target, const std::string &body);

/* Polls until the condition holds; false after the timeout. */
bool wait_until(const std::function<bool()> &condition, int timeout_ms = 5000);

/* The numbers of a line like "ports 9001 9002 control 9003", in order. */
std::vector<uint16_t> ports_parse(const std::string &line);

/*
 * First of 400 ports that no other test program of this machine uses until this one ends; 0 when
 * all are taken. For programs whose ports are fixed in a file, such as those of gen-deployment.
 */
uint16_t ports_reserve();

/* Monotonic milliseconds. */
int64_t clock_ms();

#endif
