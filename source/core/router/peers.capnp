@0xb2a8d1c35f7e4096;
# What entries tell each other, one message a datagram. codec in peer_message.cpp. Fields are only
# ever added, at the end. After a change run tools/generate_wire, and commit what it makes.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("reedramp::router::schema");

struct Load {
  server @0 :UInt64;
  requests @1 :Float32;
  work @2 :Float32;
  reading @3 :Float32;
}

# What a server that failed has answered at the sender lately.
struct Outcomes {
  server @0 :UInt64;
  good @1 :Float32;
  bad @2 :Float32;
}

# The end of a registration, read at a position of the list's stream up to readTo.
struct EndedServer {
  server @0 :UInt64;
  readTo @1 :UInt64;
}

# What a server named in an answer that the sender got: requests a second from all entries together;
# less than 0 where it takes any number.
struct Limit {
  server @0 :UInt64;
  perSecond @1 :Float32;
  ageMs @2 :UInt32;
}

struct RouteEvidence {
  route @0 :Text;
  wealth @1 :List(Float32);
  # Of the old version, as pairs of mean and count: by signal, then usual times by timed part.
  oldMeans @2 :List(Float32);
}

# A session that the sender keeps on an old version, for so long if nothing more comes of it.
struct OldSession {
  session @0 :UInt64;
  leftMs @1 :UInt32;
}

struct Rollout {
  service @0 :Text;
  target @1 :Text;
  allowedMs @2 :Int64;
  elapsedMs @3 :Int64;
  leftOnOld @4 :UInt32;
  evidence @5 :List(RouteEvidence);
  oldSessions @6 :List(OldSession);
  # As rollout_state counts them: 0 running, 1 complete, 2 reverted.
  state @7 :UInt8;
  isWritten @8 :Bool;
  share @9 :Float64;
  # Of the first half, once it has begun.
  firstShare @10 :Float64;
  # Requests a second for the service at the sender.
  rate @11 :Float32;
}

struct Words {
  host @0 :Text;
  address @1 :Text;
  rulesVersion @2 :UInt64;
  loads @3 :List(Load);
  rollouts @4 :List(Rollout);
  peers @5 :List(Text);
  leaving @6 :List(UInt64);
  # Until the sender's process ends; 0 while it stays.
  endsInMs @7 :UInt32;
  outcomes @8 :List(Outcomes);
  # Of the servers' list: where its last change ends, and how long ago that was known.
  listChanged @9 :UInt64;
  listAgeMs @10 :UInt32 = 3600000;
  # How long the store had answered by then, to any entry, without a gap.
  storeSteadyMs @11 :UInt32;
  # Which reading that was: the reader's process, and its how-manieth.
  listReader @12 :UInt64;
  # Of the last seconds.
  ended @13 :List(EndedServer);
  # Random, another one for each process of a host; 0 from earlier releases.
  process @14 :UInt64;
  listReading @15 :UInt64;
  # Hash of the sender's data centre; 0 from earlier releases. Its name would be 16 bytes more, ten
  # thousand times a second over all entries.
  dataCentre @16 :UInt32;
  # Data centres that are evacuated, by the operators' stream up to ordersKnownTo; 0 if that is not
  # known.
  evacuated @17 :List(Text);
  ordersKnownTo @18 :UInt64;
  # Those of `peers` whose address is of IPv4, and which are left out there: the address in 32 bits,
  # then the port in 16. As texts they would be half of each message.
  peersIpv4 @19 :List(UInt64);
  limits @20 :List(Limit);
}

# A request that ends the servers which run it: since it was barred, and since it came last.
struct BarredRequest {
  print @0 :UInt64;
  ageMs @1 :UInt32;
  unseenMs @2 :UInt32;
  # The store has it.
  isRecorded @3 :Bool;
}

# A request that was lost with its server; of print 0, a server that refuses connections.
struct LostRequest {
  print @0 :UInt64;
  server @1 :UInt64;
  ageMs @2 :UInt32;
  sentAgeMs @3 :UInt32;
}

# A request that was lost with a server, and was served since.
struct ServedRequest {
  print @0 :UInt64;
  ageMs @1 :UInt32;
}

# What the sender has seen of servers that end, as a datagram behind the bytes that codec
# crash_news.cpp names.
struct CrashNews {
  host @0 :Text;
  lost @1 :List(LostRequest);
  served @2 :List(ServedRequest);
  barred @3 :List(BarredRequest);
  # Of the store, as the sender knows it.
  era @4 :UInt64;
}

# A change of the servers' list, as the store gave it to an entry that read it.
struct ServerChange {
  id @0 :Text;
  # The registration has ended, or its record is none; the rest is empty then.
  isGone @1 :Bool;
  # Why the record is no registration; empty if it is one, or has ended.
  problem @2 :Text;
  service @3 :Text;
  address @4 :Text;
  dataCentre @5 :Text;
  version @6 :Text;
  slots @7 :UInt32;
  isLeaving @8 :Bool;
  coldMs @9 :UInt32;
  bornMs @10 :UInt64;
}

# What an entry has read of the servers' list, for its neighbours: as a datagram behind the bytes
# that codec list_news.cpp names, and packed as the answer to a neighbour that lacks something.
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
  # Combined hash of the servers that get work at the sender; tells a neighbour whether its list is
  # the same.
  digest @9 :UInt64;
  # The changes are those after this position, or the whole list.
  from @10 :UInt64;
  isWhole @11 :Bool;
  end @12 :UInt64;
  changes @13 :List(ServerChange);
}
