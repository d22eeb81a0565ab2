#include "process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <strings.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <sstream>
#include <thread>

int64_t clock_ms()
{
	auto now = std::chrono::steady_clock::now().time_since_epoch();

	return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

bool wait_until(const std::function<bool()> &condition, int timeout_ms)
{
	int64_t end_ms = clock_ms() + timeout_ms;

	while (!condition()) {
		if (clock_ms() >= end_ms)
			return false;
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	}
	return true;
}

/*
 * Waits until end_ms for bytes and appends those that have arrived to buffer. Returns false after
 * the timeout; at the end of the stream and on a read error it sets eof as well.
 */
static bool available_bytes_read(int fd, std::string &buffer, int64_t end_ms, bool &eof)
{
	struct pollfd wait = {fd, POLLIN, 0};
	char bytes[65536];

	if (fd < 0 || eof)
		return false;
	if (poll(&wait, 1, (int)std::max<int64_t>(end_ms - clock_ms(), 0)) <= 0)
		return false;
	ssize_t n = read(fd, bytes, sizeof(bytes));
	if (n <= 0) {
		eof = true;
		return false;
	}
	buffer.append(bytes, (size_t)n);
	return true;
}

process::process(const std::vector<std::string> &args)
{
	std::string path = args[0].find('/') == std::string::npos
				   ? std::string(BUILD_DIR "/") + args[0]
				   : args[0];
	std::vector<char *> argv;
	posix_spawn_file_actions_t actions;
	int pipe_fds[2];

	for (const std::string &arg : args)
		argv.push_back(const_cast<char *>(arg.c_str()));
	argv.push_back(nullptr);
	if (pipe2(pipe_fds, O_CLOEXEC) < 0)
		return;
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_adddup2(&actions, pipe_fds[1], STDOUT_FILENO);
	posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
	if (posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ) != 0)
		pid_ = -1;
	posix_spawn_file_actions_destroy(&actions);
	close(pipe_fds[1]);
	output_ = pipe_fds[0];
}

process::~process()
{
	if (pid_ > 0) {
		kill(pid_, SIGKILL);
		waitpid(pid_, nullptr, 0);
	}
	if (output_ >= 0)
		close(output_);
}

pid_t process::pid() const
{
	return pid_;
}

std::string process::line_read(int timeout_ms)
{
	int64_t end_ms = clock_ms() + timeout_ms;
	bool eof = false;
	size_t length;

	while ((length = buffer_.find('\n')) == std::string::npos) {
		if (!available_bytes_read(output_, buffer_, end_ms, eof))
			return "";
	}
	std::string line = buffer_.substr(0, length);
	buffer_.erase(0, length + 1);
	return line;
}

bool process::signal_send(int signal_number) const
{
	return pid_ > 0 && kill(pid_, signal_number) == 0;
}

int process::exit_wait(int timeout_ms)
{
	wait_until(
		[this] {
			int status = 0;

			if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
				status_ = WIFEXITED(status) ? WEXITSTATUS(status)
							    : 128 + WTERMSIG(status);
				pid_ = -1;
			}
			return pid_ < 0;
		},
		timeout_ms);
	return status_;
}

http_connection::http_connection(uint16_t port)
{
	struct sockaddr_in addr = {};
	int on = 1;

	addr.sin_family = AF_INET;
	addr.sin_port = htons(port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(fd_, (struct sockaddr *)&addr, sizeof(addr)) < 0) {
		close(fd_);
		fd_ = -1;
		return;
	}
	setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

http_connection::~http_connection()
{
	if (fd_ >= 0)
		close(fd_);
}

bool http_connection::is_open() const
{
	return fd_ >= 0 && !eof_;
}

bool http_connection::buffer_fill(int64_t end_ms)
{
	return available_bytes_read(fd_, buffer_, end_ms, eof_);
}

bool http_connection::request_send(const std::string &method, const std::string &target,
				   const http_headers &headers, const std::string &body)
{
	std::ostringstream out;

	out << method << " " << target << " HTTP/1.1\r\nHost: 127.0.0.1\r\n";
	for (const auto &header : headers)
		out << header.first << ": " << header.second << "\r\n";
	out << "Content-Length: " << body.size() << "\r\n\r\n" << body;
	std::string text = out.str();
	size_t sent = 0;
	while (fd_ >= 0 && sent < text.size()) {
		ssize_t n = send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		sent += (size_t)n;
	}
	return fd_ >= 0;
}

static std::string lower_case(std::string text)
{
	std::transform(text.begin(), text.end(), text.begin(), ::tolower);
	return text;
}

http_answer http_connection::answer_read(int timeout_ms)
{
	int64_t end_ms = clock_ms() + timeout_ms;
	http_answer response;
	size_t head_bytes;

	while ((head_bytes = buffer_.find("\r\n\r\n")) == std::string::npos) {
		if (!buffer_fill(end_ms)) {
			response.closed = !is_open();
			return response;
		}
	}
	std::istringstream lines(buffer_.substr(0, head_bytes));
	std::string line;
	std::string version;
	int status = 0;
	std::getline(lines, line);
	std::istringstream(line) >> version >> status;
	while (std::getline(lines, line)) {
		size_t colon = line.find(": ");

		if (!line.empty() && line.back() == '\r')
			line.pop_back();
		if (colon != std::string::npos)
			response.headers[lower_case(line.substr(0, colon))] =
				line.substr(colon + 2);
	}
	buffer_.erase(0, head_bytes + 4);
	size_t body_bytes = 0;
	auto found = response.headers.find("content-length");
	if (status != 304 && found != response.headers.end())
		body_bytes = std::stoul(found->second);
	while (buffer_.size() < body_bytes) {
		if (!buffer_fill(end_ms)) {
			response.closed = !is_open();
			return response;
		}
	}
	response.body = buffer_.substr(0, body_bytes);
	buffer_.erase(0, body_bytes);
	response.status = status;
	return response;
}

http_answer http_connection::request(const std::string &method, const std::string &target,
				     const http_headers &headers, const std::string &body,
				     int timeout_ms)
{
	request_send(method, target, headers, body);
	return answer_read(timeout_ms);
}

bool http_connection::close_wait(int timeout_ms)
{
	int64_t end_ms = clock_ms() + timeout_ms;

	while (buffer_fill(end_ms)) {
	}
	return !is_open();
}

http_answer http_request(uint16_t port, const std::string &method, const std::string &target,
			 const http_headers &headers, const std::string &body, int timeout_ms)
{
	return http_connection(port).request(method, target, headers, body, timeout_ms);
}

http_answer http_get(uint16_t port, const std::string &target, int timeout_ms)
{
	return http_request(port, "GET", target, {}, "", timeout_ms);
}

http_answer http_post(uint16_t port, const std::string &target, const std::string &body)
{
	return http_request(port, "POST", target, {}, body);
}

http_answer http_put(uint16_t port, const std::string &target, const std::string &body)
{
	return http_request(port, "PUT", target, {}, body);
}

std::vector<uint16_t> ports_parse(const std::string &line)
{
	std::istringstream words(line);
	std::vector<uint16_t> ports;
	std::string word;

	while (words >> word) {
		if (word.find_first_not_of("0123456789") == std::string::npos)
			ports.push_back((uint16_t)std::stoul(word));
	}
	return ports;
}

uint16_t ports_reserve()
{
	const int first_port = 20000;
	const int range_ports = 400;
	const int n_ranges = 25; /* ends below the ephemeral ports, which start at 32768 */
	static int reserved_port; /* 0: none yet */

	for (int i = 0; !reserved_port && i < n_ranges; i++) {
		int candidate = first_port + (getpid() + i) % n_ranges * range_ports;
		std::string path = "/tmp/apricot-ports-" + std::to_string(candidate);
		int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);

		/* The lock is released when the process ends; the file stays. */
		if (fd >= 0 && flock(fd, LOCK_EX | LOCK_NB) == 0)
			reserved_port = candidate;
		else if (fd >= 0)
			close(fd);
	}
	return (uint16_t)reserved_port;
}
