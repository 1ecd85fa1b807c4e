// Messages between entries and sides; each is sent as a Frame. Times are
// remaining durations in milliseconds; only issued_at_ms is a wall-clock time,
// set by the caller. Field numbers are never reused.
namespace cpp peridotshelf.wire

enum Role { ENTRY = 1, SIDE = 2, OPERATOR = 3 }

// Size of a request, which determines the limits that apply to it.
enum SizeClass { SHORT = 1, MEDIUM = 2, LONG = 3, GIANT = 4 }

// The first frame in each direction of a connection.
struct Hello {
  1: i32 protocol_version
  2: string process_id        // new at each start of a process
  3: string host
  4: Role role
  5: i64 control_version
  6: string failure_domain
}

// Sent at a regular interval, which is shorter while the connection carries
// attempts, and at once when the control version changes.
struct Heartbeat {
  1: i64 control_version
  // Maximum time until the sender's next heartbeat.
  2: i64 next_ms
}

// Load of one engine, as known to its side.
struct EngineLoad {
  1: string engine
  2: i64 free_tokens
  3: i32 free_slots
  4: i32 queued
  5: i64 queued_tokens
  6: bool leaving
  7: i32 running_long
  60: i64 prefill_backlog_ms   // predicted prefill time of all running and
                               // queued prompts
}

struct Attempt {
  1: string request
  2: i32 number
}

// Requests KV-cache memory and a slot at an engine.
struct Reserve {
  1: Attempt attempt
  2: string engine
  3: string team
  4: i32 priority
  5: i64 prompt_tokens
  6: i64 max_tokens
  7: i64 remaining_ms
  8: SizeClass size_class
  9: i64 control_version
  10: list<i64> prefix_hashes
  11: bool unrepeatable
  12: string idempotency_key
  13: i64 issued_at_ms
  80: i64 oldest_heard_version   // as in ServiceCall
  81: i64 newest_heard_version
}

struct Granted {
  1: Attempt attempt
  2: i64 epoch               // the side's incarnation; Start has the same
  3: i64 lease_ms
  4: EngineLoad load
}

struct Queued {
  1: Attempt attempt
  2: i64 estimated_start_ms
  3: EngineLoad load
}

// The attempt did not run, and the side guarantees that it never will.
struct Refused {
  1: Attempt attempt
  2: string code             // name of an ErrorCode
  3: string detail
  4: i64 retry_after_ms
  5: EngineLoad load
}

// Starts an attempt. The payload is the JSON value of the prompt for an engine,
// or the body for a plain service.
struct Start {
  1: Attempt attempt
  2: i64 epoch
  3: i64 remaining_ms
  4: string model
  5: i64 max_tokens
  6: binary payload
  7: bool payload_ends       // false while PayloadPart frames follow
}

struct PayloadPart {
  1: Attempt attempt
  2: binary payload
  3: bool payload_ends
}

// A call to a plain service.
struct ServiceCall {
  1: Attempt attempt
  2: string backend
  3: string method
  4: string target
  5: string content_type
  6: binary payload
  7: i64 remaining_ms
  8: bool unrepeatable
  9: string idempotency_key
  10: i64 issued_at_ms
  11: i64 control_version
  80: i64 oldest_heard_version   // control versions reported to the entry by
  81: i64 newest_heard_version   // all sides; 0 for a side without a report
  82: string team
}

// Part of an answer. The offset is the chunk's index within the attempt, from
// 0.
struct Chunk {
  1: Attempt attempt
  2: i64 offset
  3: binary data
}

// The answer is complete and consists of `chunks` chunks.
struct Finished {
  1: Attempt attempt
  2: i64 chunks
  3: i32 http_status         // of a plain service's answer
  4: string content_type
  5: i64 prompt_tokens
  6: i64 cached_tokens
}

// The attempt ended without a complete answer. not_run guarantees that it did
// not run.
struct Failed {
  1: Attempt attempt
  2: string code
  3: string detail
  4: bool not_run
  5: i64 retry_after_ms
}

// Ends an attempt in any state. The side replies with Failed and records the
// cancellation, so that a later Start is refused.
struct Cancel {
  1: Attempt attempt
  2: string code
  80: string process_id          // as in Resume; empty if no Start was sent
}

// Requests on a new connection the chunks from an offset on.
struct Resume {
  1: Attempt attempt
  2: i64 from_offset
  80: string process_id          // the side process that Start was sent to
}

// Requests a control state newer than a version.
struct PullControl {
  1: i64 from_version
}

// A complete control state, in the JSON of the log's snapshots.
struct ControlState {
  1: i64 version
  2: binary snapshot
}

struct Frame {
  1: optional Hello hello
  2: optional Heartbeat heartbeat
  3: optional Reserve reserve
  4: optional Granted granted
  5: optional Queued queued
  6: optional Refused refused
  7: optional Start start
  8: optional PayloadPart payload_part
  9: optional Chunk chunk
  10: optional Finished finished
  11: optional Failed failed
  12: optional Cancel cancel
  13: optional Resume resume
  14: optional ServiceCall service_call
  15: optional PullControl pull_control
  16: optional ControlState control_state
}

// An active request or prefill shard at one engine. Times are remaining
// durations in milliseconds when the datagram is sent.
struct EngineWork {
  1: i64 id
  2: bool reading
  3: bool is_part
  4: bool is_late
  5: i64 memory_tokens
  6: i32 read_left_ms
  7: i32 end_left_ms
  8: i32 max_pause_ms
  9: i32 value_thousandths
  10: i32 patience_ms
  11: i32 read_ms             // engine time that the prefill takes by itself
  12: optional i32 first_event_left_ms  // until the predicted first event,
                                        // negative after it
}

// All active requests of the sender at one engine; the list may be empty.
struct EngineWorks {
  1: string engine
  2: list<EngineWork> works
}

// What an entry knows of the limit that an engine states, and its part in it.
struct EngineLimit {
  1: string engine
  2: optional i64 per_second_thousandths  // not set: the limit has ended
  3: i64 stated_age_ms        // time since the engine stated it
  4: i64 sent                 // requests sent since the sender knows a limit
  5: i64 recently_sent        // of these, the ones that still count
  6: i64 demand_thousandths   // wanted requests per 1,000 s
  7: optional i64 cold_left_ms  // not set: not cold; until the datagram is sent
  8: optional i64 cold_age_ms // time since the registration was read that tells
}

// The crash of an engine while it ran a request with a suspect. Times are
// durations until the datagram is sent.
struct CrashSighting {
  1: i64 engine               // hash of the engine's incarnation
  2: i64 request              // hash of the request's id
  3: i64 sent_age_ms
  4: i64 crash_age_ms
}

// What an entry knows of a suspect: something that requests have in common and
// that may crash engines.
struct CrashSuspect {
  1: i64 id
  2: i64 service_hash         // of the service's name
  3: i32 depth
  4: list<CrashSighting> sightings
  5: optional i64 completed_age_ms  // not set: no request has run to its end
  6: bool others_completed    // engines ran others to their end since
  7: optional i32 quarantine_level  // not set: not quarantined
  8: i64 quarantine_age_ms
  9: i64 quarantine_left_ms   // negative after its end
 10: bool is_whole_request    // not a prompt part
}

// The newest read of a topic by the sender.
struct TopicRead {
  1: i64 epoch
  2: i64 offset               // of the next record to read, valid in the epoch
  3: i64 age_ms
}

// A failure domain to which no further requests are sent.
struct EvacuatedDomain {
  1: string domain
  2: i64 hold_left_ms         // 0: the store has its record
}

// A datagram between entries: the active requests of the sender.
struct EntryLoad {
  1: string process_id        // new at each start of a process
  2: i64 sequence             // datagrams that arrive out of order are dropped
  3: bool complete            // engines that are not listed are idle
  4: list<EngineWorks> engines
  6: i64 config_version
  7: bool wants_reply         // the sender receives no load from the receiver
  8: i64 engines_digest       // digest of the engines known to the sender
  9: i64 engines_offset       // offset of the next registration to read
 10: optional i64 engines_age_ms  // time since the sender read registrations
 11: optional i64 engines_available_ms  // time since entries read them again
                                        // after the last outage
 12: i64 engines_epoch        // epoch in which engines_offset is valid
 13: list<EngineLimit> limits // of the listed engines; all if complete
 14: list<CrashSuspect> suspects
 15: list<string> leaving_engines  // that said so to the sender
 16: list<string> departed_engines // only in replies: that left by registrations
                                   // that the sender has read
 17: optional i64 operator_epoch   // not set: the datagram has no evacuations
 18: optional i64 operator_offset  // up to which the sender knows the operator's
                                   // records
 19: list<EvacuatedDomain> evacuations  // all of them at that position
 20: optional TopicRead operator_read  // of the operator's records
}
