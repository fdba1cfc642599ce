// Control messages between daemons. `make generate` writes the Python code.

struct Hello {
  1: string deployment
  2: string host
  3: i64 incarnation
  4: binary nonce
}

struct Version {
  1: list<i32> edition
  2: i64 revision
  3: binary digest
}

struct Member {
  1: string host
  2: string serviceName
  3: string failureDomain
  4: string region
  5: i64 incarnation
  6: i64 sequence
  7: i16 state
  8: string callAddress
  9: string peerAddress
}

struct Ping {
  1: string target
}

struct Pong {
  1: string host
  2: i64 incarnation
}

struct Sync {
  1: optional Version version
  2: list<i64> buckets
  3: list<Member> members
}

struct Announce {
  1: Version version
}

struct Fetch {
  1: Version wanted
  2: binary held
}

struct Content {
  1: optional Version version
  2: binary base
  3: binary payload
}

struct Update {
  1: list<Member> members
}

struct Suspects {
  1: string serviceName
  2: list<binary> suspected
  3: list<binary> convicted
  4: list<binary> cleared
}

struct Ack {
  1: bool wanted
}

struct Failure {
  1: i32 code
  2: string reason
}

union Body {
  1: Ping ping
  2: Pong pong
  3: Sync sync
  4: Announce announce
  5: Fetch fetch
  6: Content content
  7: Update update
  8: Suspects suspects
  9: Ack ack
  10: Failure failure
}

struct Envelope {
  // Matches an answer to its request within one connection.
  1: i64 correlation
  2: Body body
}
