/* The RPC procedures of apricot.x with their types and the service that serves each. */
#ifndef APRICOT_PROCEDURE_H
#define APRICOT_PROCEDURE_H

#include "proto/apricot.h"

/*
 * X(number, arguments, result, service that serves it, whether calls are UDP datagrams). A datagram
 * has no answer.
 */
#define PROCEDURE_LIST(X)                                                     \
	X(APR_NULL, apr_empty, apr_empty, "holder", 0)                        \
	X(APR_SEARCH, apr_search_args, apr_search_reply, "holder", 0)         \
	X(APR_COMMAND, apr_command_args, apr_command_reply, "holder", 0)      \
	X(APR_CONFIG_GET, apr_config_args, apr_config_reply, "configurer", 0) \
	X(APR_MARK, apr_mark_args, apr_empty, "holder", 0)                    \
	X(APR_MEMBERS, apr_empty, apr_members_reply, "membership", 0)         \
	X(APR_MEMBER_MESSAGE, apr_member_message, apr_empty, "membership", 1) \
	X(APR_NOTICE, apr_notice, apr_empty, "configurer", 1)                 \
	X(APR_FEED, apr_feed_args, apr_feed_reply, "relay", 0)

#endif
