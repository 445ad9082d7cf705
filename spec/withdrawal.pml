/*
 * Withdrawal of a key: nodes in three availability zones, any of which may be
 * cut off from each other and from the log for any time. A node serves the
 * key only while it has contact: within the last WINDOW ticks it had a round
 * trip with nodes in a majority of availability zones, itself included. A
 * withdrawal counts as accepted when nodes in a majority have it.
 *
 * Node 0 is the one that serves; nodes 1 and 2 are its peers.
 *
 * Safety: more than WINDOW ticks after the acceptance node 0 does not serve
 * the key (assertion in Serve). Liveness: once links stay up, every node
 * learns of an accepted withdrawal (spread).
 *
 * Seeded faults: -DLOG_ACCEPTS counts a withdrawal as accepted when it is in
 * the log alone, -DNO_CONTACT serves without contact, -DAGE_FROM_RECEIPT
 * counts contact from the arrival of an answer instead of the sending of its
 * request, so that an answer that was long on the way counts as fresh,
 * -DNO_RELAY keeps node 0 from learning through its peers.
 */

#define N 3
#define MAJORITY 2
#define WINDOW 2
#define OLD (WINDOW + 1)

bool known[N];        /* the node has the withdrawal */
bool in_log = false;
bool accepted = false;
byte since = 0;       /* ticks since the acceptance, up to OLD */
byte age[N];          /* ticks since node 0 began its last round trip with the peer */
bool asking[N];       /* node 0's request is on its way */
bool answered[N];     /* the answer is on its way back */
bool carried[N];      /* the answer carries the withdrawal */
byte asked_age[N];    /* ticks since the request was sent */

inline note_acceptance() {
	if
	:: !accepted && (known[0] + known[1] + known[2] >= MAJORITY) -> accepted = true
#ifdef LOG_ACCEPTS
	:: !accepted && in_log -> accepted = true
#endif
	:: else -> skip
	fi
}

inline grow(x) {
	if
	:: x < OLD -> x++
	:: else -> skip
	fi
}

inline grow_asked(j) {
	if
	:: asking[j] || answered[j] -> grow(asked_age[j])
	:: else -> skip
	fi
}

active proctype Clock() {
end:	do
	:: atomic {
		grow(age[1]); grow(age[2]);
		grow_asked(1); grow_asked(2);
		if
		:: accepted -> grow(since)
		:: else -> skip
		fi }
	od
}

/* A link between node 0 and a peer. A message may wait for any time. */
proctype Link(byte j) {
end:	do
	:: atomic { !asking[j] && !answered[j] -> asking[j] = true; asked_age[j] = 0 }
	:: atomic { asking[j] ->
		asking[j] = false; answered[j] = true; carried[j] = known[j];
		known[j] = known[j] || known[0]; /* the request carries it too */
		note_acceptance() }
	:: atomic { answered[j] ->
		answered[j] = false;
#ifdef AGE_FROM_RECEIPT
		age[j] = 0;
#else
		age[j] = asked_age[j];
#endif
#ifndef NO_RELAY
		known[0] = known[0] || carried[j];
#endif
		carried[j] = false; asked_age[j] = 0; note_acceptance() }
	od
}

/* The link between nodes 1 and 2. */
active proctype PeerLink() {
end:	do
	:: atomic { known[1] != known[2] -> known[1] = true; known[2] = true; note_acceptance() }
	od
}

/* Each node reads the log whenever it can reach it, which may be never. */
active proctype LogReader() {
end:	do
	:: atomic { in_log && !known[1] -> known[1] = true; note_acceptance() }
	:: atomic { in_log && !known[2] -> known[2] = true; note_acceptance() }
	od
}

active proctype Serve() {
end:	do
	:: atomic { accepted && !known[0] &&
#ifndef NO_CONTACT
		(1 + (age[1] <= WINDOW) + (age[2] <= WINDOW) >= MAJORITY) &&
#endif
		since > WINDOW -> assert(false) }
	od
}

/* The operator appends to the log, or hands the withdrawal to a node. */
active proctype Operator() {
	atomic {
		age[1] = OLD; age[2] = OLD;
		run Link(1); run Link(2)
	};
	if
	:: atomic { in_log = true; note_acceptance() }
	:: atomic { known[1] = true; note_acceptance() }
	:: atomic { known[0] = true; note_acceptance() }
	fi
}

ltl spread { [] (accepted -> <> known[0]) }
