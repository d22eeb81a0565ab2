#include "counter.h"
#include "process.h"
#include "proto/apricot.h"
#include "rpc.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

namespace
{
struct outcome {
	struct event_base *base;
	enum rpc_status status;
	bool is_done;
};

void call_done(void *arg, enum rpc_status status, void *result)
{
	outcome *o = static_cast<outcome *>(arg);

	o->status = status;
	o->is_done = true;
	event_base_loopbreak(o->base);
}

/* IP:PORT of a free loopback port, for the endpoint. */
std::string free_address_find()
{
	struct sockaddr_in at = {};
	socklen_t n = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	at.sin_family = AF_INET;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(fd, (struct sockaddr *)&at, n);
	getsockname(fd, (struct sockaddr *)&at, &n);
	close(fd);
	return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
}

/* A listening port whose accept queue is full, so that the kernel drops further SYNs. */
class unresponsive_port
{
      public:
	unresponsive_port()
	{
		struct sockaddr_in at = {};
		socklen_t n = sizeof(at);

		at.sin_family = AF_INET;
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		fds.push_back(socket(AF_INET, SOCK_STREAM, 0));
		bind(fds[0], (struct sockaddr *)&at, n);
		listen(fds[0], 0);
		getsockname(fds[0], (struct sockaddr *)&at, &n);
		address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
		for (int i = 0; i < 4; i++) {
			fds.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
			connect(fds.back(), (struct sockaddr *)&at, n);
		}
	}
	~unresponsive_port()
	{
		for (int fd : fds)
			close(fd);
	}
	std::string address;

      private:
	std::vector<int> fds;
};
} // namespace

/*
 * Guards against a VM that finds no other VM for a second after a power failure of all VMs: it
 * called a VM that had no power yet, and waits until the kernel repeats the SYN.
 */
TEST(rpc, unanswered_connection_attempt_is_abandoned)
{
	struct event_base *base = event_base_new();
	struct counters counters = {};
	GError *error = nullptr;
	struct rpc_endpoint *e =
		rpc_endpoint_create(base, free_address_find().c_str(), APRICOT_PROGRAM,
				    APRICOT_VERSION, nullptr, 0, nullptr, &counters, &error);
	unresponsive_port port;
	outcome o = {base, RPC_STATUS_DONE, false};
	apr_notice args = {};
	char empty[] = "";
	int64_t started_ms = clock_ms();

	ASSERT_NE(e, nullptr) << error->message;
	args.rpc = empty;
	rpc_endpoint_call(e, port.address.c_str(), 1, (xdrproc_t)xdr_apr_notice, &args,
			  (xdrproc_t)xdr_apr_notice, 0, 2000000, call_done, &o);
	event_base_dispatch(base);
	EXPECT_TRUE(o.is_done);
	EXPECT_EQ(o.status, RPC_STATUS_NOT_SENT);
	EXPECT_LT(clock_ms() - started_ms, 900);
	rpc_endpoint_destroy(e);
	event_base_free(base);
}
