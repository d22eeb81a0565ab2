/* Messages between apricotd processes. Bounds keep one message below 16 MiB. */

const APR_NAME_MAX = 64;
const APR_ADDR_MAX = 64;
const APR_ID_MAX = 160;
const APR_BODY_MAX = 65536;
const APR_HITS_MAX = 1048576;
const APR_SHARDS_MAX = 4096;
const APR_PARTS_MAX = 1024;
const APR_VERSIONS_MAX = 16;
const APR_SECTIONS_MAX = 4096;
const APR_MARKS_MAX = 1024;
const APR_UPDATES_MAX = 12;
const APR_MEMBERS_MAX = 16384;
const APR_KEY_MAX = 256;
const APR_FEED_ITEMS_MAX = 65536;

struct apr_empty {
	int unused;
};

struct apr_snapshot {
	unsigned hyper index_version;
	unsigned hyper map_version;
};

struct apr_part {
	string group<APR_NAME_MAX>;
	unsigned int shards<APR_SHARDS_MAX>;
};

struct apr_search_args {
	opaque request_id[16];
	string service<APR_NAME_MAX>;
	string klass<APR_NAME_MAX>;
	string caller<APR_NAME_MAX>;
	apr_snapshot snapshot;
	unsigned int answer_us;
	unsigned int deadline_us;
	apr_part parts<APR_PARTS_MAX>;
	string query<APR_BODY_MAX>;
};

struct apr_shard_result {
	unsigned int shard;
	int result;
	string hits<APR_HITS_MAX>;
};

struct apr_group_versions {
	string group<APR_NAME_MAX>;
	unsigned hyper versions<APR_VERSIONS_MAX>;
};

struct apr_search_reply {
	opaque request_id[16];
	apr_snapshot snapshot;
	int result;
	apr_shard_result shards<APR_SHARDS_MAX>;
	apr_group_versions groups<APR_PARTS_MAX>;
	unsigned int served_us;
};

struct apr_command_args {
	string id<APR_ID_MAX>;
	unsigned hyper entry_incarnation;
	string service<APR_NAME_MAX>;
	string klass<APR_NAME_MAX>;
	string caller<APR_NAME_MAX>;
	unsigned hyper map_version;
	string group<APR_NAME_MAX>;
	unsigned int shard;
	unsigned int deadline_us;
	string body<APR_BODY_MAX>;
};

struct apr_command_reply {
	string id<APR_ID_MAX>;
	int outcome;
	int result;
	string body<APR_BODY_MAX>;
};

struct apr_digest {
	string hex<APR_NAME_MAX>;
};

struct apr_config_args {
	bool want_index;
	apr_digest digests<APR_SECTIONS_MAX>;
};

struct apr_section {
	string digest<APR_NAME_MAX>;
	string text<APR_HITS_MAX>;
};

struct apr_config_reply {
	unsigned hyper config_version;
	string index<APR_HITS_MAX>;
	string source<APR_ADDR_MAX>;
	apr_section sections<APR_SECTIONS_MAX>;
};

struct apr_mark {
	string backend<APR_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper list_version;
	bool is_listed_live;
};

struct apr_mark_args {
	apr_mark marks<APR_MARKS_MAX>;
};

struct apr_member {
	string name<APR_NAME_MAX>;
	string dc<APR_NAME_MAX>;
	string http<APR_ADDR_MAX>;
	string rpc<APR_ADDR_MAX>;
	unsigned hyper incarnation;
	unsigned hyper generation;
	unsigned hyper uptime_ms;
	unsigned hyper sequence;
	unsigned hyper config_version;
	unsigned int weight;
	int state;
};

struct apr_member_message {
	int kind;
	unsigned hyper nonce;
	apr_member sender;
	string subject<APR_NAME_MAX>;
	string subject_rpc<APR_ADDR_MAX>;
	apr_member updates<APR_UPDATES_MAX>;
};

struct apr_members_reply {
	apr_member members<APR_MEMBERS_MAX>;
};

struct apr_notice {
	unsigned hyper config_version;
	string rpc<APR_ADDR_MAX>;
};

/* The last member of a struct; 0 if the sender, an earlier version, does not have it. */
#ifdef RPC_HDR
%typedef u_quad_t apr_last_hyper;
%extern bool_t xdr_apr_last_hyper(XDR *, apr_last_hyper *);
#endif

struct apr_feed_args {
	unsigned hyper known_revision;
	unsigned int wait_ms;
	bool wants_items;
	apr_last_hyper known_era;
};

struct apr_feed_item {
	string key<APR_KEY_MAX>;
	unsigned hyper revision;
	bool is_removed;
	unsigned int age_ms; /* of a removal: since a VM read it from the store */
	opaque value<APR_HITS_MAX>;
};

struct apr_feed_reply {
	bool is_current;
	bool is_full;
	unsigned hyper revision;
	apr_feed_item items<APR_FEED_ITEMS_MAX>;
	apr_last_hyper era;
};

program APRICOT_PROGRAM {
	version APRICOT_VERSION {
		apr_empty APR_NULL(apr_empty) = 0;
		apr_search_reply APR_SEARCH(apr_search_args) = 1;
		apr_command_reply APR_COMMAND(apr_command_args) = 2;
		apr_config_reply APR_CONFIG_GET(apr_config_args) = 3;
		apr_empty APR_MARK(apr_mark_args) = 4;
		apr_members_reply APR_MEMBERS(apr_empty) = 5;
		apr_empty APR_MEMBER_MESSAGE(apr_member_message) = 6;
		apr_empty APR_NOTICE(apr_notice) = 7;
		apr_feed_reply APR_FEED(apr_feed_args) = 8;
	} = 1;
} = 0x20a9c071;
