/*
 * Withdrawal of a key: nodes in three availability zones, any of which may be
 * cut off from each other and from the log for any time. A node serves the
 * key only while it has contact: within the last WINDOW ticks it had a round
 * trip with nodes in a majority of the availability zones, its own included.
 * A withdrawal counts as accepted when nodes in a majority of the zones know
 * it.
 *
 * Node 0 is the one that serves the key; nodes 1 and 2 are its peers.
 *
 * Safety: more than WINDOW ticks after the acceptance node 0 does not serve
 * the key (assertion in Serve).
 * Liveness: if the links go on delivering messages, node 0 learns of an
 * accepted withdrawal (spread).
 *
 * Seeded faults:
 * -DLOG_ACCEPTS counts a withdrawal as accepted when it is in the log alone;
 * -DNO_CONTACT serves without contact;
 * -DAGE_FROM_RECEIPT measures the age of contact from the arrival of an answer
 *   instead of the sending of its request, so that a long-delayed answer
 *   counts as fresh;
 * -DNO_RELAY keeps node 0 from learning of the withdrawal through its peers.
 */

#define NODES 3
#define MAJORITY 2
#define WINDOW 2
#define EXPIRED (WINDOW + 1)

bool known[NODES]; /* the node knows the withdrawal */
bool in_log = false;
bool accepted = false;
byte ticks_since_accepted = 0; /* up to EXPIRED */
byte contact_age[NODES]; /* ticks since node 0 began its last round trip with the peer */
bool request_sent[NODES]; /* node 0's request to the peer is on its way */
bool answer_sent[NODES]; /* the peer's answer is on its way back */
bool answer_has_withdrawal[NODES]; /* the answer carries the withdrawal */
byte request_age[NODES]; /* ticks since the request was sent */

inline note_acceptance() {
	if
	:: !accepted && (known[0] + known[1] + known[2] >= MAJORITY) -> accepted = true
#ifdef LOG_ACCEPTS
	:: !accepted && in_log -> accepted = true
#endif
	:: else -> skip
	fi
}

inline increment(x) {
	if
	:: x < EXPIRED -> x++
	:: else -> skip
	fi
}

inline increment_request_age(j) {
	if
	:: request_sent[j] || answer_sent[j] -> increment(request_age[j])
	:: else -> skip
	fi
}

active proctype Clock() {
end:	do
	:: atomic {
		increment(contact_age[1]); increment(contact_age[2]);
		increment_request_age(1); increment_request_age(2);
		if
		:: accepted -> increment(ticks_since_accepted)
		:: else -> skip
		fi }
	od
}

/* A link between node 0 and a peer. A message may be delayed for any time. */
proctype Link(byte j) {
end:	do
	:: atomic { !request_sent[j] && !answer_sent[j] -> request_sent[j] = true; request_age[j] = 0 }
	:: atomic { request_sent[j] ->
		request_sent[j] = false; answer_sent[j] = true; answer_has_withdrawal[j] = known[j];
		known[j] = known[j] || known[0]; /* the request carries it as well */
		note_acceptance() }
	:: atomic { answer_sent[j] ->
		answer_sent[j] = false;
#ifdef AGE_FROM_RECEIPT
		contact_age[j] = 0;
#else
		contact_age[j] = request_age[j];
#endif
#ifndef NO_RELAY
		known[0] = known[0] || answer_has_withdrawal[j];
#endif
		answer_has_withdrawal[j] = false; request_age[j] = 0; note_acceptance() }
	od
}

/* The link between nodes 1 and 2. */
active proctype PeerLink() {
end:	do
	:: atomic { known[1] != known[2] -> known[1] = true; known[2] = true; note_acceptance() }
	od
}

/* Nodes 1 and 2 read the log whenever they can reach it, which may be never. */
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
		(1 + (contact_age[1] <= WINDOW) + (contact_age[2] <= WINDOW) >= MAJORITY) &&
#endif
		ticks_since_accepted > WINDOW -> assert(false) }
	od
}

/* The operator appends the withdrawal to the log, or hands it to a node. */
active proctype Operator() {
	atomic {
		contact_age[1] = EXPIRED; contact_age[2] = EXPIRED;
		run Link(1); run Link(2)
	};
	if
	:: atomic { in_log = true; note_acceptance() }
	:: atomic { known[1] = true; note_acceptance() }
	:: atomic { known[0] = true; note_acceptance() }
	fi
}

ltl spread { [] (accepted -> <> known[0]) }
