@0xb2a8d1c35f7e4096;
# Messages between entries, one per datagram. The codec is in peer_report.cpp. Fields are only ever
# added, at the end. After a change run tools/generate_wire and commit the generated files.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("reedramp::router::schema");

struct Load {
  server @0 :UInt64;
  requests @1 :Float32;
  work @2 :Float32;
  reading @3 :Float32;
  # Tokens that the requests hold in the server's memory.
  memory @4 :Float32;
}

# How much slower than usual a server's host is at present, as the server stated it.
struct Slowdown {
  server @0 :UInt64;
  factor @1 :Float32;
  ageMs @2 :UInt16;
}

# How slow a server is relative to the others of its service, from samples of the sender.
struct ServerSpeed {
  server @0 :UInt64;
  slowness @1 :Float32;
  samples @2 :UInt32;
}

# Work per second that an organisation asks of a service through the sender. `organisation` is a
# hash of the names of the service and the organisation. Some rows hold totals of a service.
struct OrganisationUsage {
  organisation @0 :UInt32;
  rate @1 :Float32;
}

# Recent outcomes at the sender of a server that has failed.
struct Outcomes {
  server @0 :UInt64;
  good @1 :Float32;
  bad @2 :Float32;
}

# A registration that has ended, as read in the list's stream up to position readTo.
struct EndedServer {
  server @0 :UInt64;
  readTo @1 :UInt64;
  # Number of its last registration, 0 if unknown or from earlier releases, and whether the server
  # left rather than lapsed.
  lastSequence @2 :UInt32;
  hasLeft @3 :Bool;
}

# The limit that a server stated in a response to the sender: requests per second from all entries
# together; less than 0 if unlimited.
struct Limit {
  server @0 :UInt64;
  perSecond @1 :Float32;
  ageMs @2 :UInt32;
}

struct RouteEvidence {
  route @0 :Text;
  wealth @1 :List(Float32);
  # Means of the old version, as pairs of mean and count: by signal, then usual times by timed part.
  oldMeans @2 :List(Float32);
  # Failures at servers with high occupancy: the bets on them, then the old version's mean and count.
  highOccupancyFailures @3 :List(Float32);
}

# A session that the sender keeps on an old version, and for how long if it gets no more requests.
struct OldSession {
  session @0 :UInt64;
  leftMs @1 :UInt32;
}

# The sum of a sender's evidence over all of its routes.
struct TotalEvidence {
  wealth @0 :List(Float32);
  # Failures at servers with high occupancy: the bets on them.
  highOccupancyFailures @1 :List(Float32);
}

struct Rollout {
  service @0 :Text;
  target @1 :Text;
  allowedMs @2 :Int64;
  elapsedMs @3 :Int64;
  leftOnOld @4 :UInt32;
  evidence @5 :List(RouteEvidence);
  oldSessions @6 :List(OldSession);
  # Numbers of rollout_state: 0 running, 1 complete, 2 reverted.
  state @7 :UInt8;
  isWritten @8 :Bool;
  share @9 :Float64;
  # Share of the first half, once it has begun.
  firstShare @10 :Float64;
  # Requests per second for the service at the sender.
  rate @11 :Float32;
  # Share of the sessions that fill a server, during the load test.
  loadTestShare @12 :Float64;
  # Positions of the order's record and of the newest order of the service that was judged; 0 from
  # earlier releases.
  orderedAt @13 :UInt64;
  judgedTo @14 :UInt64;
  # Absent from earlier releases, whose `evidence` holds all routes; from others it holds some.
  totalEvidence @15 :TotalEvidence;
}

struct OverloadReport {
  slowdowns @0 :List(Slowdown);
  speeds @1 :List(ServerSpeed);
  usage @2 :List(OrganisationUsage);
}

struct Words {
  host @0 :Text;
  address @1 :Text;
  rulesVersion @2 :UInt64;
  loads @3 :List(Load);
  rollouts @4 :List(Rollout);
  peers @5 :List(Text);
  leaving @6 :List(UInt64);
  # Time until the sender's process ends; 0 while it stays.
  endsInMs @7 :UInt32;
  outcomes @8 :List(Outcomes);
  # Position of the last change of the server list, and how long ago the list was known to be
  # current.
  listChanged @9 :UInt64;
  listAgeMs @10 :UInt32 = 3600000;
  # How long the store had responded without a gap by then, to any entry.
  storeSteadyMs @11 :UInt32;
  # Identifies that reading: the reader's process, and in listReading its number.
  listReader @12 :UInt64;
  # Registrations that ended in the last seconds.
  ended @13 :List(EndedServer);
  # Random, different for each process of a host; 0 from earlier releases.
  process @14 :UInt64;
  listReading @15 :UInt64;
  # Hash of the sender's data centre; 0 from earlier releases. Its name would take 16 bytes more,
  # ten thousand times a second over all entries.
  dataCentre @16 :UInt32;
  # Evacuated data centres according to the operators' stream up to ordersKnownTo; 0 if unknown.
  evacuated @17 :List(Text);
  ordersKnownTo @18 :UInt64;
  # Peers with IPv4 addresses, which `peers` leaves out: the address in 32 bits, then the port in
  # 16. As texts they would take half of each message.
  peersIpv4 @19 :List(UInt64);
  limits @20 :List(Limit);
  # Absent unless overload control is in force at the sender and it has something to report.
  overload @21 :OverloadReport;
  # As for the list: position up to which the operators' stream is known, how long ago it was known
  # to end there, and the reading that showed it.
  rulesKnownTo @22 :UInt64;
  rulesAgeMs @23 :UInt32 = 3600000;
  rulesReader @24 :UInt64;
  rulesReading @25 :UInt64;
}

# A barred request, which crashes the servers that run it, with the time since it was barred and
# since it was last received.
struct BarredRequest {
  print @0 :UInt64;
  ageMs @1 :UInt32;
  unseenMs @2 :UInt32;
  # The store has a record of it.
  isRecorded @3 :Bool;
  # Parts of prompts that are barred, and the hash of their service. `print` stands for them then.
  parts @4 :List(UInt64);
  service @5 :UInt64;
  # Time since the first crash for which it is barred.
  suspectedMs @6 :UInt32;
}

# A request that was lost with its server. Print 0 stands for a server that refuses connections.
struct LostRequest {
  print @0 :UInt64;
  server @1 :UInt64;
  ageMs @2 :UInt32;
  sentAgeMs @3 :UInt32;
  # Parts of its prompt that other requests may share, and hashes of its service and of the kind of
  # engine. Without parts if they can't be the cause.
  parts @4 :List(UInt64);
  service @5 :UInt64;
  engine @6 :UInt64;
}

# A part that was served by a kind of engine while it was suspected.
struct ServedPart {
  part @0 :UInt64;
  engine @1 :UInt64;
  sentAgeMs @2 :UInt32;
}

# A request that was lost with a server and has been served since.
struct ServedRequest {
  print @0 :UInt64;
  ageMs @1 :UInt32;
}

# Requests that were lost, served or barred at the sender. Sent as a datagram after the prefix that
# the codec crash_update.cpp defines.
struct CrashNews {
  host @0 :Text;
  lost @1 :List(LostRequest);
  served @2 :List(ServedRequest);
  barred @3 :List(BarredRequest);
  # Era of the store as known to the sender.
  era @4 :UInt64;
  servedParts @5 :List(ServedPart);
}

# A change of the server list, as an entry read it from the store.
struct ServerChange {
  id @0 :Text;
  # The registration has ended or its record is invalid; the other fields are empty then.
  isGone @1 :Bool;
  # Why the record is invalid; empty if it is valid or has ended.
  problem @2 :Text;
  service @3 :Text;
  address @4 :Text;
  dataCentre @5 :Text;
  version @6 :Text;
  slots @7 :UInt32;
  isLeaving @8 :Bool;
  coldMs @9 :UInt32;
  bornMs @10 :UInt64;
  # Number of the registration, or of the last one before the end; 0 if unknown or from earlier
  # releases.
  sequence @11 :UInt64;
  # The registration has ended because the server left.
  hasLeft @12 :Bool;
}

# Update of the server list for neighbours: sent as a datagram after the prefix that the codec
# list_update.cpp defines, and packed as the response to a neighbour that lacks changes.
struct ListNews {
  host @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
  # As in Words.
  listChanged @3 :UInt64;
  listAgeMs @4 :UInt32;
  storeSteadyMs @5 :UInt32;
  listReader @6 :UInt64;
  listReading @7 :UInt64;
  rulesVersion @8 :UInt64;
  # Combined hash of the servers to which the sender routes requests; shows a neighbour whether its
  # list is the same.
  digest @9 :UInt64;
  # The changes are those after this position, or the whole list if isWhole is set.
  from @10 :UInt64;
  isWhole @11 :Bool;
  end @12 :UInt64;
  changes @13 :List(ServerChange);
  # As in Words.
  rulesKnownTo @14 :UInt64;
  rulesAgeMs @15 :UInt32 = 3600000;
  rulesReader @16 :UInt64;
  rulesReading @17 :UInt64;
}
