@0x8cf92d94ce993a50;
# What the system's processes say to each other. Each struct mirrors one of source/core/messages,
# where the fields are explained; codec_*.cpp translates. Fields are only ever added, at the end.
# After a change run tools/generate_wire, and commit what it makes.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("reedramp::wire::schema");

struct RequestId {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct RunKey {
  request @0 :RequestId;
  attempt @1 :UInt32;
  incarnation @2 :UInt64;
}

enum Execution {
  notRun @0;
  ran @1;
  unknown @2;
}

struct Error {
  code @0 :UInt16;
  run @1 :Execution;
  detail @2 :Text;
  hasRetry @3 :Bool;
  # Time left until a new try may succeed. Two hosts' clocks share no zero, so that a point in time
  # never travels.
  retryAfterNs @4 :Int64;
}

enum WorkKind {
  chat @0;
  service @1;
}

enum RepeatRule {
  idempotent @0;
  atMostOnce @1;
}

struct RunRequest {
  key @0 :RunKey;
  kind @1 :WorkKind;
  repeat @2 :RepeatRule;
  organisation @3 :Text;
  task @4 :Text;
  model @5 :Text;
  version @6 :Text;
  service @7 :Text;
  session @8 :Text;
  # Null if the request has no session.
  timeLeftNs @9 :Int64;
  priority @10 :Int32;
  configuration @11 :UInt64;
  stream @12 :Bool;
  maxTokens @13 :UInt64;
  method @14 :Text;
  path @15 :Text;
  body @16 :Data;
  contentType @17 :Text;
  sentText @18 :Data;
  sentTokens @19 :UInt64;
}

struct Usage {
  promptTokens @0 :UInt64;
  completionTokens @1 :UInt64;
}

struct Tokens {
  firstIndex @0 :UInt64;
  count @1 :UInt32;
  text @2 :Data;
}

struct Finished {
  httpStatus @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;
  used @3 :Usage;
  finishReason @4 :Text;
}

struct Refused {
  why @0 :Error;
  retryAfterNs @1 :Int64;
}

struct Failed {
  why @0 :Error;
  used @1 :Usage;
}

struct RunEnd {
  union {
    finished @0 :Finished;
    refused @1 :Refused;
    failed @2 :Failed;
  }
}

struct OutcomeQuery {
  key @0 :RunKey;
  refuseIfUnknown @1 :Bool;
}

enum OutcomeState {
  unknown @0;
  refused @1;
  queued @2;
  running @3;
  finished @4;
  failed @5;
}

struct OutcomeAnswer {
  state @0 :OutcomeState;
  finished @1 :Finished;
  why @2 :Error;
  used @3 :Usage;
}

struct ProbeRequest {
  version @0 :Text;
  prefixHash @1 :UInt64;
}

struct ProbeAnswer {
  server @0 :Text;
  incarnation @1 :UInt64;
  leaving @2 :Bool;
  servesVersion @3 :Bool;
  holdsPrefix @4 :Bool;
  inFlight @5 :UInt32;
  queued @6 :UInt32;
  estimatedWaitNs @7 :Int64;
  configuration @8 :UInt64;
}

struct LogRecord {
  offset @0 :UInt64;
  data @1 :Data;
}

struct Withdrawal {
  version @0 :Text;
  record @1 :Text;
  proof @2 :Data;
}

struct ConfigurationPull {
  have @0 :UInt64;
  withdrawals @1 :List(Withdrawal);
}

struct ConfigurationPush {
  offset @0 :UInt64;
  evidenceAgeNs @1 :Int64;
  records @2 :List(LogRecord);
  checkpoint @3 :Data;
  withdrawals @4 :List(Withdrawal);
}

struct ClaimRequest {
  organisation @0 :Text;
  key @1 :RequestId;
  body @2 :UInt64;
  request @3 :RequestId;
  server @4 :Text;
  incarnation @5 :UInt64;
  attempt @6 :UInt32;
  replaces @7 :UInt64;
  version @8 :Text;
}

enum ClaimState {
  won @0;
  lost @1;
  refused @2;
}

struct ClaimAnswer {
  state @0 :ClaimState;
  holder @1 :ClaimRequest;
  offset @2 :UInt64;
  why @3 :Error;
}

struct BillLine {
  version @0 :Text;
  server @1 :Text;
  used @2 :Usage;
  cost @3 :Int64;
}

struct Bill {
  request @0 :RequestId;
  organisation @1 :Text;
  task @2 :Text;
  lines @3 :List(BillLine);
  at @4 :Int64;
}

struct BillHandover {
  bills @0 :List(Bill);
}

struct VersionEvidence {
  version @0 :Text;
  requests @1 :UInt64;
  errors @2 :UInt64;
  ratings @3 :UInt64;
  ratingSum @4 :Float64;
  slow @5 :UInt64;
  logWealth @6 :List(Float64);
}

enum DemandScope {
  entry @0;
  dataCentre @1;
  fleet @2;
}

struct LimitDemand {
  organisation @0 :Text;
  scope @1 :DemandScope;
  entries @2 :UInt32;
  requestsPerMinute @3 :Float64;
  tokensPerMinute @4 :Float64;
  moneyPerMinute @5 :Float64;
  admittedRequestsPerMinute @6 :Float64;
  admittedTokensPerMinute @7 :Float64;
  admittedMoneyPerMinute @8 :Float64;
}

struct Gossip {
  from @0 :Text;
  sequence @1 :UInt64;
  configuration @2 :UInt64;
  evidence @3 :List(VersionEvidence);
  demand @4 :List(LimitDemand);
}

interface Process {
  # The first object of each connection. Both sides prove that they hold the shared key: each proof
  # is an HMAC over a label of its side and both nonces, so that no proof can be used again, or sent
  # back to where it came from.

  challenge @0 (nonce :Data) -> (nonce :Data, proof :Data, login :Login);
}

interface Login {
  login @0 (proof :Data) -> (agent :Agent, peer :Peer);
  # One try; a wrong proof closes the connection.
}

interface Agent {
  # An `error` that is not null stands in place of the answer.

  run @0 (request :RunRequest, sink :RunSink) -> (end :RunEnd, messages :UInt64);
  # `messages` is the number of calls of `sink.tokens` that belong before the end. A cancelled call
  # cancels the run.

  ask @1 (query :OutcomeQuery) -> (answer :OutcomeAnswer, error :Error);
  probe @2 (request :ProbeRequest) -> (answer :ProbeAnswer, error :Error);
}

interface RunSink {
  tokens @0 (pieces :List(Tokens)) -> stream;
  # Returns when the reader wants more.
}

interface Peer {
  pull @0 (pull :ConfigurationPull) -> (answer :ConfigurationPush, error :Error);
  claim @1 (claim :ClaimRequest) -> (answer :ClaimAnswer, error :Error);
  handover @2 (bills :BillHandover) -> (error :Error);
  talk @3 (news :Gossip) -> (answer :Gossip, error :Error);
}
