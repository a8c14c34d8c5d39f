@0xe9be628d408d3d1b;

# The peer protocol between the entry hosts of one fleet.
#
# Request bodies are never sent over it. Times are microseconds of the sender's
# monotonic clock unless a field says otherwise; durations are microseconds.

struct Hello {
  # Identifies the sender, so that hosts of different fleets never connect.
  protocol @0 :UInt16;      # protocol version; versions that differ by one are compatible
  fleet @1 :Text;           # fleet name from the settings
  host @2 :Text;            # host name
  incarnation @3 :UInt64;   # random, new at each start of the process
  zone @4 :Text;            # availability zone
}

interface Gate {
  # The bootstrap capability of every peer listener.
  greet @0 (hello :Hello) -> (hello :Hello, link :PeerLink);
}

struct TokenAsk {
  workspace @0 :Text;
  tokens @1 :UInt32;        # one for each waiting request
  last @2 :Bool;            # all other limit homes have been asked already
}

struct TokenGrant {
  granted @0 :UInt32;
  retryAfterUs @1 :UInt64;  # if granted is too small: time until one token is available
  fractionMicro @2 :UInt64; # fraction of a token, in millionths, deducted here and granted
  fractionKeepsUs @3 :UInt64;     # the fraction stays unchanged for this time
  fractionShrinks @4 :UInt64;     # then it decays by this many millionths per second
}

enum TokenMode {
  ask @0;                   # whole tokens
  gather @1;                # the remaining fraction, deducted before it is sent
}

enum RequestKind {
  idempotent @0;
  nonIdempotent @1;
}

struct SlotAsk {
  service @0 :Text;
  zone @1 :Text;            # availability zone of the cell
  workspace @2 :Text;
  kind @3 :RequestKind;
  deadlineUs @4 :UInt64;    # time left until the deadline
  avoid @5 :List(Text);     # backend servers already tried
  retry @6 :Bool;           # counts against the retry budget of the cell
  stopgap @7 :Bool;         # the slot keeper of the cell could not be reached
}

enum SlotAnswerKind {
  granted @0;
  late @1;                  # the deadline cannot be met
  noServer @2;              # no backend server of the cell is usable
  notKeeper @3;             # this host is not the slot keeper of the cell
  overBudget @4;            # the retry budget of the cell is exhausted
  zoneOut @5;               # the availability zone is out
}

struct SlotAnswer {
  kind @0 :SlotAnswerKind;
  permit @1 :UInt64;
  server @2 :Text;          # name of the backend server
  address @3 :Text;         # its IP address and port
  validUs @4 :UInt64;       # the permit expires after this time
  retryAfterUs @5 :UInt64;
  loadMicro @6 :UInt64;     # used share of the cell's capacity, in millionths
}

enum OutcomeKind {
  answered @0;              # a complete response
  serverError @1;           # a complete response with a 5xx status
  refused @2;               # the server reported that it did not run the request
  draining @3;              # the server reported that it is draining
  connectFailed @4;
  cutAnswer @5;
  timeout @6;
  wrongAnswer @7;           # a response with the id of another request
  callerGone @8;
  cold @9;                  # the server reported that it is in cold start
  unused @10;               # no byte of the request was sent
}

struct SlotRelease {
  service @0 :Text;
  zone @1 :Text;
  permit @2 :UInt64;
  server @3 :Text;
  outcome @4 :OutcomeKind;
  headerUs @5 :UInt64;      # time to the response headers
  totalUs @6 :UInt64;       # time to the last byte of the response
  connectUs @7 :UInt64;     # time to connect, 0 on a pooled connection
}

struct EjectionAsk {
  service @0 :Text;
  zone @1 :Text;
  server @2 :Text;
  eject @3 :Bool;           # false releases an earlier ejection
  holdUs @4 :UInt64;        # requested duration of the ejection
}

struct VouchAnswer {
  inDoubt @0 :Bool;
  version @1 :UInt64;       # configuration version in force
  memberSet @2 :UInt64;     # version of the member set that the callee knows
  host @3 :Text;            # name of the callee, since addresses are reused
  freshUs @4 :UInt64;       # remaining time for which the callee's own last
                            # read of the fleet head counts as fresh
}

struct TimelineEvent {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  logical @3 :UInt64;       # Lamport timestamp
  monotonicUs @4 :UInt64;
  wallUs @5 :Int64;
  json @6 :Text;            # the event's fields
}

interface PeerLink {
  # Every call carries the caller's Lamport timestamp; the result carries the
  # callee's.
  askTokens @0 (stamp :UInt64, shard :UInt16, epoch :UInt64, mode :TokenMode, asks :List(TokenAsk), index :UInt8)
            -> (stamp :UInt64, home :Bool, grants :List(TokenGrant));
  askSlot @1 (stamp :UInt64, ask :SlotAsk) -> (stamp :UInt64, answer :SlotAnswer);
  releaseSlots @2 (stamp :UInt64, releases :List(SlotRelease)) -> (stamp :UInt64);
  askEjection @3 (stamp :UInt64, ask :EjectionAsk) -> (stamp :UInt64, granted :Bool, arbiter :Bool);
  vouch @4 (stamp :UInt64, memberSet :UInt64) -> (stamp :UInt64, answer :VouchAnswer);
  fetchSnapshot @5 (stamp :UInt64, haveVersion :UInt64)
                -> (stamp :UInt64, version :UInt64, digest :Text, publication :Text, body :Data);
  handOver @6 (stamp :UInt64, resource :Text, epoch :UInt64, state :Data) -> (stamp :UInt64, taken :Bool);
  timeline @7 (stamp :UInt64, sinceSequence :UInt64, most :UInt32)
           -> (stamp :UInt64, missed :UInt64, events :List(TimelineEvent));
  status @8 (stamp :UInt64) -> (stamp :UInt64, json :Text);
  fetchFleet @9 (stamp :UInt64) -> (stamp :UInt64, json :Text);
  # Hosts, member set, holders and backend servers as the callee knows them.
}
