# The protocol between entry VMs.
#
# Evolution: VMs of two versions run side by side during a rolling restart. Fields, union members and
# enumerants are only added, each with the next free number; none is removed, renumbered or given another
# meaning. A reader treats an absent field as its default value. A receiver drops a message whose union
# member or enumerant it does not know, so a new kind of message must not be needed by old receivers.
#
# Times are in microseconds. Names are checked by the receiver.

@0xe3c1f5a0b7d24968;

interface Door {
  # What a stranger finds. It gives away no name until the caller has proved that it knows the secret.

  challenge @0 (nonce :Data) -> (nonce :Data, proof :Data);
  # Exchanges random numbers. The proof shows that the server knows the secret.

  enter @1 Entry -> Admission;
  # Proves that the caller knows the secret, once for each challenge.
}

struct Entry {
  # A VM that asks to be let in.
  vm @0 :Text;
  # The name of the VM that asks.
  incarnation @1 :UInt64;
  # Its start.
  to @2 :Text;
  # The name of the VM that it means to reach.
  proof @3 :Data;
}

struct Admission {
  # The answer to an entry.
  union {
    welcome @0 :Welcome;
    refusal @1 :Refusal;
  }
}

struct Welcome {
  # The caller is let in.
  incarnation @0 :UInt64;
  # The start of the server.
  proof @1 :Data;
  peer @2 :Peer;
}

enum Refusal {
  # Why a caller is not let in.
  secret @0;
  # The proof does not fit the secret.
  name @1;
  # The server is another VM than the one that the caller means to reach.
  malformed @2;
  # The entry can't be read, or came without a challenge.
}

interface Peer {
  # Takes messages of one proved VM.

  deliver @0 (messages :List(Data)) -> ();
  # Each element is one packed Message, so that one which can't be read does not take others with it. The
  # answer says that the messages arrived, not that they were acted on.
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    ask @1 :Ask;
    update @2 :Update;
    notHolder @3 :NotHolder;
    claim @4 :Claim;
    verdict @5 :Verdict;
    fetch @6 :Fetch;
    piece @7 :Piece;
  }
}

struct Heartbeat {
  members @0 :List(Member);
  holders @1 :List(Holder);
}

struct Member {
  vm @0 :Text;
  address @1 :Text;
  zone @2 :Text;
  incarnation @3 :UInt64;
  beat @4 :UInt64;
  leaving @5 :Bool;
  edition @6 :UInt64;
}

struct Holder {
  domain @0 :Text;
  vm @1 :Text;
  fence @2 :UInt64;
}

struct Ask {
  domain @0 :Text;
  nonce @1 :UInt64;
  fence @2 :UInt64;
  seen @3 :UInt64;
  full @4 :Bool;
  held @5 :List(Held);
  released @6 :List(UInt64);
  wants @7 :List(Want);
  uses @8 :List(Use);
}

struct Held {
  server @0 :Text;
  adapter @1 :Text;
  inFlight @2 :UInt32;
}

struct Want {
  adapter @0 :Text;
  waiting @1 :UInt32;
  weight @2 :UInt32;
  left @3 :UInt64;
  waited @4 :UInt64;
}

struct Use {
  adapter @0 :Text;
  arrived @1 :UInt32;
  inFlight @2 :UInt32;
}

struct Update {
  domain @0 :Text;
  fence @1 :UInt64;
  seq @2 :UInt64;
  nonce @3 :UInt64;
  grants @4 :List(Granted);
  revokes @5 :List(UInt64);
  loads @6 :List(Load);
  expected @7 :List(Expected);
}

struct Granted {
  grant @0 :UInt64;
  server @1 :Text;
  adapter @2 :Text;
}

struct Load {
  server @0 :Text;
  report @1 :Report;
}

struct Report {
  boot @0 :UInt64;
  ready @1 :Bool;
  running @2 :UInt32;
  waiting @3 :UInt32;
  batch @4 :UInt32;
  step @5 :UInt64;
  slots @6 :UInt32;
  age @7 :UInt64;
  residents @8 :List(Resident);
}

struct Resident {
  adapter @0 :Text;
  inFlight @1 :UInt32;
}

struct Expected {
  adapter @0 :Text;
  wait @1 :UInt64;
}

struct NotHolder {
  domain @0 :Text;
  holder @1 :Holder;
  # Null where none is known.
}

struct Claim {
  key @0 :Data;
  # 16 bytes.
  digest @1 :UInt64;
  request @2 :UInt64;
  step :union {
    take @3 :Void;
    free @4 :Void;
    done @5 :Outcome;
  }
}

struct Outcome {
  union {
    kept @0 :Kept;
    whole @1 :Void;
    unknown @2 :Void;
  }
}

struct Kept {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;
}

struct Verdict {
  key @0 :Data;
  # 16 bytes.
  request @1 :UInt64;
  finding :union {
    granted @2 :Void;
    taken @3 :Void;
    # Claimed before; how it ended is not known.
    ended @7 :Outcome;
    # Claimed before, and ended so.
    reused @4 :Void;
    down @5 :Void;
    notHome @6 :Void;
  }
}

struct Fetch {
  have @0 :UInt64;
  offset @1 :UInt64;
  snapshot @2 :UInt64;
}

struct Piece {
  union {
    edits @0 :Edits;
    snapshot @1 :Snapshot;
  }
}

struct Edits {
  first @0 :UInt64;
  edits @1 :List(Data);
}

struct Snapshot {
  edition @0 :UInt64;
  offset @1 :UInt64;
  total @2 :UInt64;
  hash @3 :Data;
  # 32 bytes.
  data @4 :Data;
}
