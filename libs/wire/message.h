/*
 * Messages between nodes over TCP, encoded as msgpack arrays
 * [protocol version, type, stream, fields...].
 *
 * Strings and bytes of a decoded message point into the memory of struct snipe_decoded and are
 * valid until snipe_decoded_finish. Fields appended by a later minor version are ignored.
 */
#ifndef SNIPE_MESSAGE_H
#define SNIPE_MESSAGE_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/buffer.h"
#include "base/hash.h"
#include "core/balancer.h"
#include "core/call_profile.h"
#include "core/control_state.h"
#include "core/membership.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_PROTOCOL_VERSION 1
#define SNIPE_MAX_HEADERS 64
#define SNIPE_BODY_CHUNK_BYTES (64 * 1024)
#define SNIPE_MAX_BODY_BYTES (8 * 1024 * 1024)
#define SNIPE_MAX_MEMBERS 4096
#define SNIPE_REASON_SIZE 32

enum snipe_message_type {
	SNIPE_MSG_HELLO = 1,
	SNIPE_MSG_CALL,
	SNIPE_MSG_BODY,
	SNIPE_MSG_ANSWER,
	SNIPE_MSG_CANCEL,
	SNIPE_MSG_PING,
	SNIPE_MSG_PONG,
	SNIPE_MSG_RETRY_ASK,
	SNIPE_MSG_RETRY_ANSWER,
	SNIPE_MSG_QUOTA_ASK,
	SNIPE_MSG_QUOTA_GRANT,
	SNIPE_MSG_QUOTA_RETURN,
	SNIPE_MSG_DEDUP_CLAIM,
	SNIPE_MSG_DEDUP_ANSWER,
	SNIPE_MSG_DEDUP_DONE,
	SNIPE_MSG_DEDUP_RELEASE,
	SNIPE_MSG_FETCH,
	SNIPE_MSG_OBJECT,
	SNIPE_MSG_MEMBERS_ASK,
	SNIPE_MSG_MEMBERS,
	SNIPE_MSG_ACK, /* only to nodes whose HELLO names a session */
	SNIPE_MSG_TYPE_COUNT,
};

struct snipe_slice {
	const char *data;
	size_t len;
};

struct snipe_header {
	struct snipe_slice name;
	struct snipe_slice value;
};

/* First frame in each direction. mac authenticates the other fields with the fleet secret. */
struct snipe_msg_hello {
	char node_id[SNIPE_NAME_SIZE];
	uint64_t process;
	struct snipe_address address; /* peer listener of the sender */
	int64_t wall_ms;
	uint64_t nonce;
	uint8_t mac[SNIPE_MAC_SIZE];
	/* The fields below are missing in a HELLO of earlier builds. */
	uint64_t session;  /* chosen by the node that connects; 0: none */
	uint64_t received; /* number of the last message of the session that was taken in */
	int is_known;	   /* the sender holds the session's state from before */
	uint8_t session_mac[SNIPE_MAC_SIZE]; /* over these fields and mac */
};

struct snipe_msg_ack {
	uint64_t received; /* as in HELLO */
};

struct snipe_msg_call {
	char route[SNIPE_NAME_SIZE];
	char pool[SNIPE_NAME_SIZE];
	char method[16];
	struct snipe_slice path;	 /* with query */
	char workspace[SNIPE_NAME_SIZE]; /* empty: open route without a key */
	int importance;
	int idempotent;
	int64_t timeout_us; /* time remaining when sent */
	int depth;	    /* 1 for a client's request */
	int attempt; /* above 0 if an earlier attempt of this request, or of one that led to
			it, may have run: the requests that it makes are then retries */
	struct snipe_address root_address; /* peer listener of the entry node */
	uint64_t root_request;		   /* request id at the entry node */
	uint64_t fingerprint;
	int rank;		   /* priority in the gate's queue; 0 is served first */
	int64_t max_queue_wait_us; /* longest time to wait in the gate's queue */
	int is_trial; /* suspect of crashing backend servers, admitted as a trial */
	/* Senders zero the fields before headers, but not headers itself. */
	struct snipe_header headers[SNIPE_MAX_HEADERS];
	int header_count;
	uint64_t body_len; /* of the whole body */
	uint64_t body_hash;
	struct snipe_slice chunk; /* first part of the body; BODY frames carry the rest */
};

struct snipe_msg_body {
	struct snipe_slice chunk;
};

enum snipe_answer_outcome {
	SNIPE_ANSWER_COMPLETE, /* the backend server responded */
	SNIPE_ANSWER_NOT_RUN,
	SNIPE_ANSWER_UNKNOWN,
};

struct snipe_msg_answer {
	enum snipe_answer_outcome outcome;
	int status;
	char reason[SNIPE_REASON_SIZE]; /* for NOT_RUN and UNKNOWN */
	int64_t retry_after_us;
	struct snipe_load_report load;
	int has_arrived; /* the backend server received the request; it may not have run it */
	int64_t service_us;	      /* mean time that a request runs on this backend server */
	struct snipe_chain_cost cost; /* of such a request over its call chain; empty: not
					 stated. Missing in the answers of earlier builds,
					 is_rough also in those of later ones */
	struct snipe_header headers[SNIPE_MAX_HEADERS];
	int header_count;
	uint64_t body_len;
	uint64_t body_hash;
	struct snipe_slice chunk;
};

struct snipe_msg_retry_ask {
	uint64_t request;
};

struct snipe_msg_retry_answer {
	int is_granted;
};

struct snipe_msg_quota_ask {
	char workspace[SNIPE_NAME_SIZE];
	int want;  /* tokens for waiting requests */
	int ahead; /* tokens to prefetch for later requests */
};

struct snipe_msg_quota_grant {
	int not_owner; /* the sender does not own the shard or may not act as its owner now */
	uint64_t grant;
	int tokens;
	int ahead;
	int64_t retry_after_us;
};

struct snipe_msg_quota_return {
	char workspace[SNIPE_NAME_SIZE];
	uint64_t grant;
	int tokens;
};

struct snipe_msg_dedup_claim {
	char workspace[SNIPE_NAME_SIZE];
	char identifier[40];
	uint64_t fingerprint;
};

struct snipe_msg_dedup_answer {
	int not_owner;
	int verdict; /* enum snipe_claim_verdict */
	uint64_t claim;
	struct snipe_slice answer;
};

struct snipe_msg_dedup_done {
	uint64_t claim;
	int is_known;
	struct snipe_slice answer;
};

struct snipe_msg_dedup_release {
	uint64_t claim;
};

struct snipe_msg_fetch {
	int object; /* enum snipe_object_id */
};

struct snipe_msg_object {
	int object;
	uint64_t version; /* 0: the sender has none */
	struct snipe_slice value;
};

/* members belongs to the caller when encoding, to struct snipe_decoded after decoding. */
struct snipe_msg_members {
	struct snipe_member *members;
	int count;
};

struct snipe_message {
	enum snipe_message_type type;
	uint32_t stream;
	union {
		struct snipe_msg_hello hello;
		struct snipe_msg_call call;
		struct snipe_msg_body body;
		struct snipe_msg_answer answer;
		struct snipe_msg_retry_ask retry_ask;
		struct snipe_msg_retry_answer retry_answer;
		struct snipe_msg_quota_ask quota_ask;
		struct snipe_msg_quota_grant quota_grant;
		struct snipe_msg_quota_return quota_return;
		struct snipe_msg_dedup_claim dedup_claim;
		struct snipe_msg_dedup_answer dedup_answer;
		struct snipe_msg_dedup_done dedup_done;
		struct snipe_msg_dedup_release dedup_release;
		struct snipe_msg_fetch fetch;
		struct snipe_msg_object object;
		struct snipe_msg_members members;
		struct snipe_msg_ack ack;
	} u;
};

/* A decoded message and the memory that it points into. */
struct snipe_decoded {
	struct snipe_message message;
	msgpack_unpacked unpacked;
};

/* Appends one whole frame: length and message. */
void snipe_message_encode(const struct snipe_message *m, struct snipe_buffer *out);

/*
 * Decodes the content of one frame (without its length). payload must stay valid until
 * snipe_decoded_finish. Returns 0, SNIPE_ERR_SYNTAX or SNIPE_ERR_VERSION; after an error,
 * snipe_decoded_finish is not needed.
 */
int snipe_message_decode(const void *payload, size_t len, struct snipe_decoded *out);
void snipe_decoded_finish(struct snipe_decoded *d);

/* Computes the MAC of a HELLO over its other fields. */
void snipe_hello_mac(const struct snipe_msg_hello *hello, const char *secret,
		     uint8_t mac[SNIPE_MAC_SIZE]);

/* Computes the MAC over the fields that name the session, and over hello->mac. */
void snipe_hello_session_mac(const struct snipe_msg_hello *hello, const char *secret,
			     uint8_t mac[SNIPE_MAC_SIZE]);

const char *snipe_message_type_name(int type);

#ifdef __cplusplus
}
#endif

#endif
