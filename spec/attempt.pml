/*
 * One attempt of a caller that must not be repeated, on the path of the users'
 * platform: the node of the caller sends a frame on a link to the node beside
 * the target, which runs it or refuses it. A frame that is queued when its link
 * breaks comes back as unsent; one that was written may arrive or be lost.
 * Answers may be lost with the link. Target's nodes may restart empty.
 *
 * Safety: the attempt runs at most once (once), and a caller that was told "not
 * run" is told the truth, then and later (told_true).
 *
 * Seeded faults: -DRETRY_UNKNOWN sends again after a link broke on a written
 * frame, -DBREAK_IS_REFUSAL takes such a break for "not run", -DREWRITE writes a
 * frame again on the next link, -DEXPIRY_IS_REFUSAL tells "not run" at the time
 * limit while a target's node has the call, -DFULL_AFTER_RUN lets a gate refuse a
 * call that it has already handed over.
 */

#define GATES 2
#define SENDS 3

mtype = { idle, queued, written, arrived, running, ended, lost };
mtype = { none, notrun, unknown, done };

mtype frame[GATES];   /* where the call to each gate is */
mtype answer[GATES];  /* on its way back from each gate */
bool broken[GATES];   /* the link broke while the call was out */
byte runs = 0;
byte sends = 0;
byte at = 0;          /* gate that has the call */
mtype told = none;    /* what the caller was told */

inline tell(what) { if :: told == none -> told = what :: else -> skip fi }

/* The node of the caller. */
inline send_to(g) { at = g; frame[g] = queued; answer[g] = none; broken[g] = false; sends++ }

active proctype Caller() {
	send_to(0);
end:	do
	:: atomic { told == none && answer[at] == done -> tell(done) }
	:: atomic { told == none && answer[at] == notrun && sends < SENDS -> send_to(1 - at) }
	:: atomic { told == none && answer[at] == notrun -> tell(notrun) }
	:: atomic { told == none && answer[at] == unknown -> tell(unknown) }
	/* The link broke: a queued frame comes back, a written one is unknown. */
	:: atomic { told == none && broken[at] && frame[at] == queued ->
		frame[at] = lost; answer[at] = notrun }
	:: atomic { told == none && broken[at] && frame[at] != queued && answer[at] == none ->
#ifdef BREAK_IS_REFUSAL
		answer[at] = notrun
#else
#ifdef RETRY_UNKNOWN
		if :: sends < SENDS -> send_to(1 - at) :: else -> answer[at] = unknown fi
#else
		answer[at] = unknown
#endif
#endif
		}
	/* The time limit. */
	:: atomic { told == none && frame[at] != idle ->
#ifdef EXPIRY_IS_REFUSAL
		tell(notrun)
#else
		tell(unknown)
#endif
		}
	od
}

/* The link to each gate: the writer, the network and its end. */
active [GATES] proctype Link() {
	byte g = _pid - 1;
	bool again = false;
end:	do
	:: atomic { frame[g] == queued && !broken[g] -> frame[g] = written }
	:: atomic { frame[g] == written -> frame[g] = arrived }
	:: atomic { !broken[g] && (frame[g] == queued || frame[g] == written) ->
		broken[g] = true;
		if
		:: frame[g] == written -> frame[g] = lost
		:: frame[g] == written -> skip /* arrives all the same */
		:: frame[g] == queued -> skip
		fi }
	:: atomic { !broken[g] && (frame[g] == arrived || frame[g] == running) -> broken[g] = true }
#ifdef REWRITE
	:: atomic { broken[g] && !again && (frame[g] == running || frame[g] == ended) -> again = true; frame[g] = written }
#endif
	od
}

/* The node beside each target. */
active [GATES] proctype Gate() {
	byte g = _pid - 1 - GATES;
end:	do
	:: atomic { frame[g] == arrived -> frame[g] = running; runs++ }
	:: atomic { frame[g] == arrived -> frame[g] = ended; if :: !broken[g] -> answer[g] = notrun :: else -> skip fi }
	:: atomic { frame[g] == running -> frame[g] = ended; if :: !broken[g] -> answer[g] = done :: else -> skip fi }
	:: atomic { frame[g] == running -> frame[g] = ended; if :: !broken[g] -> answer[g] = unknown :: else -> skip fi }
#ifdef FULL_AFTER_RUN
	:: atomic { frame[g] == running -> frame[g] = ended; if :: !broken[g] -> answer[g] = notrun :: else -> skip fi }
#endif
	/* A restart loses what has arrived; the link breaks with it. */
	:: atomic { frame[g] == arrived || frame[g] == running -> frame[g] = lost; broken[g] = true }
	od
}

active proctype Check() {
end:	do
	:: atomic { runs > 1 -> assert(false) }                    /* once */
	:: atomic { told == notrun && runs > 0 -> assert(false) }  /* told_true */
	od
}
