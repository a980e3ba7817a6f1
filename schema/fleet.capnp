@0xd1f5a0c3b7e94612;

# The fleet as operators describe it, and the calls that drive it.
#
# Declarations are kept as YAML under version control and published by the
# platform; `Fleet` is their typed form, and what `Operator.fleet` answers.

enum Prefer {
  time @0;    # time to N replicas weighs more
  origin @1;  # bytes drawn from the origin weigh more
}

struct Fleet {
  revision @0 :UInt64;
  name @1 :Text;
  prefer @2 :Prefer;
  originBudget @3 :UInt32;  # whole copies that may be drawn from the origin
  models @4 :List(Model);
  services @5 :List(PlainService);
  sites @6 :List(Site);
  workspaces @7 :List(Workspace);
  backends @8 :List(Backend);
}

struct Model {
  name @0 :Text;
  priority @1 :UInt8;       # 0 goes first
  versions @2 :List(Version);
  serve @3 :Text;           # name of the version to be in force
  placements @4 :List(Placement);
  adapters @5 :List(Adapter);
}

struct Version {
  name @0 :Text;
  manifest @1 :Text;        # blake3 of the manifest, 64 hex digits
}

struct Adapter {
  name @0 :Text;
  manifest @1 :Text;
}

struct Placement {
  site @0 :Text;
  replicas @1 :UInt32;
}

struct PlainService {
  name @0 :Text;
  repeatable @1 :Bool;
}

struct Site {
  name @0 :Text;
  region @1 :Text;
}

struct Workspace {
  name @0 :Text;
  share @1 :UInt32;
  priority @2 :UInt8;
}

struct Backend {
  name @0 :Text;
  site @1 :Text;
  service @2 :Text;         # empty: a model engine
  checksFences @3 :Bool;
}

# What one process tells another about itself; kept small, since control may
# cost a node 2 KB/s at most.
struct Report {
  name @0 :Text;
  hall @1 :Text;
  incarnation @2 :UInt64;
  clock @3 :UInt64;         # hybrid logical clock
  config @4 :Seen;
  listing @5 :Seen;
  contactMs @6 :UInt64;     # age of the newest known contact with the platform
  state @7 :Text;           # "serving", "draining", ...
  model @8 :Text;
  version @9 :Text;
  load @10 :UInt32;         # requests in progress
  share @11 :UInt32;        # of the wanted version's chunks held, per mille
  stuck @12 :UInt16;        # numbered code of what holds it up, or 0
  control @13 :Text;        # where it takes control calls
  rate @14 :UInt32;         # KB/s at which it is fetching
  poison @15 :UInt64;       # digest of its table of poisoned requests
}

# What a process knows of poisoned requests, in part.
struct Poison {
  digest @0 :UInt64;        # of the whole table
  records @1 :List(PoisonRecord);
  about @2 :Text;           # a request that the sender wants to hear of
  crashes @3 :List(Crash);
  claims @4 :List(RunClaim);
}

# The claim of an entry to the only run of a request.
struct RunClaim {
  features @0 :List(Text);  # 32 hex digits each
  number @1 :UInt64;        # random; the lowest one precedes the others
  stage @2 :ClaimStage;
}

enum ClaimStage {
  asked @0;                 # the run begins unless there is a better claim
  running @1;
  over @2;
}

# What a process knows of the crash of a backend server, in whole or in part.
struct Crash {
  replica @0 :Text;         # the life of the backend server that crashed
  ageMs @1 :UInt64;
  service @2 :Text;
  accused @3 :List(Text);   # 32 hex digits each
  cleared @4 :List(Text);
  inTurn @5 :Bool;          # a request ran on it because another had just crashed
  answers @6 :List(Answers);
}

# How many complete answers of the service a process has seen since the crash.
struct Answers {
  entry @0 :UInt32;
  count @1 :UInt32;
}

struct PoisonRecord {
  request @0 :Text;         # 32 hex digits
  cleared @1 :UInt32;
  ended @2 :UInt8;
  trials @3 :UInt8;
  ageMs @4 :UInt64;
  replicas @5 :List(Text);
}

# How far a process has got with one published document.
struct Seen {
  revision @0 :UInt64;
  digest @1 :Data;
}

# A document whole (head and tail are 0), or what lies between the parts that
# did not change since the one that the asker holds.
struct Document {
  to @0 :Seen;
  head @1 :UInt32;
  tail @2 :UInt32;
  bytes @3 :Data;
}

enum Kind {
  config @0;
  listing @1;
}

enum Ran {
  didNotRun @0;
  mayHaveRun @1;
  ran @2;
}

# Between the system's own processes.
interface Peer {
  exchange @0 (report :Report) -> (report :Report);
  pull @1 (kind :Kind, holds :Seen) -> (found :Bool, document :Document);
  revoke @2 (attempt :Text, incarnation :UInt64) -> (ran :Ran);
  claim @3 (claim :Claim) -> (grant :Grant);
  settle @4 (key :Text, holder :Text, ran :Ran);
  operator @5 () -> (operator :Operator);
  news @6 (news :News) -> (news :News);
  poison @7 (poison :Poison) -> (poison :Poison);
}

# How far a process has got with both documents: a short report.
struct News {
  config @0 :Seen;
  listing @1 :Seen;
  control @2 :Text;
}

# Asks a key's guard for the key.
struct Claim {
  key @0 :Text;
  holder @1 :Text;
  revision @2 :UInt64;      # of the asker's configuration
  former @3 :Bool;          # a later guard asks an earlier one
}

struct Grant {
  code @0 :UInt16;          # 0: granted
  message @1 :Text;
  waitMs @2 :UInt32;        # when to come back
  revision @3 :UInt64;      # of the guard's configuration
}

# For operators. Orders carry the revision that they were based on; one based
# on an older revision is refused.
interface Operator {
  status @0 () -> (reports :List(Report));
  explain @1 (version :Text) -> (lines :List(Text));
  drain @2 (basedOn :UInt64) -> (code :UInt16, message :Text);
  fleet @3 () -> (found :Bool, fleet :Fleet);
}
