/*
 * One call that must run at most once, between mesh nodes, which route calls
 * between services. The caller's node sends the call as a frame on a link to
 * the node of a target. That node's gate hands the call to the target or
 * refuses it. After a refusal the call may be sent to another gate. A frame
 * that is still queued when its link breaks is returned as unsent; a frame
 * that was written may arrive or be lost. Answers may be lost with the link.
 * The targets' nodes may restart without their state.
 *
 * Safety: the call runs at most once (once), and a caller that was told
 * "not run" was told the truth, then and later (told_true).
 *
 * Seeded faults:
 * -DRETRY_UNKNOWN sends the call again after its link broke while the frame
 *   was already written;
 * -DBREAK_IS_REFUSAL reports "not run" after such a break;
 * -DWRITE_TWICE writes a frame again on the next link;
 * -DEXPIRY_IS_REFUSAL reports "not run" at the time limit while a target's
 *   node has the call;
 * -DREFUSE_AFTER_RUN lets a gate refuse a call that it has already handed to
 *   the target.
 */

#define GATES 2
#define MAX_SENDS 3

mtype = { idle, queued, written, arrived, running, ended, lost };
mtype = { none, not_run, unknown, done };

mtype frame[GATES]; /* where the call to each gate is */
mtype answer[GATES]; /* on its way back from each gate */
bool broken[GATES]; /* the link broke during the call */
byte runs = 0;
byte sends = 0;
byte current_gate = 0; /* the gate to which the call was sent last */
mtype told = none; /* what the caller was told */

inline report_outcome(what) { if :: told == none -> told = what :: else -> skip fi }

/* The caller's node. */
inline send_to(g) { current_gate = g; frame[g] = queued; answer[g] = none; broken[g] = false; sends++ }

active proctype Caller() {
	send_to(0);
end:	do
	:: atomic { told == none && answer[current_gate] == done -> report_outcome(done) }
	:: atomic { told == none && answer[current_gate] == not_run && sends < MAX_SENDS -> send_to(1 - current_gate) }
	:: atomic { told == none && answer[current_gate] == not_run -> report_outcome(not_run) }
	:: atomic { told == none && answer[current_gate] == unknown -> report_outcome(unknown) }
	/* The link broke: a queued frame is returned as unsent; the outcome of
	 * a written one is unknown. */
	:: atomic { told == none && broken[current_gate] && frame[current_gate] == queued ->
		frame[current_gate] = lost; answer[current_gate] = not_run }
	:: atomic { told == none && broken[current_gate] && frame[current_gate] != queued && answer[current_gate] == none ->
#ifdef BREAK_IS_REFUSAL
		answer[current_gate] = not_run
#else
#ifdef RETRY_UNKNOWN
		if :: sends < MAX_SENDS -> send_to(1 - current_gate) :: else -> answer[current_gate] = unknown fi
#else
		answer[current_gate] = unknown
#endif
#endif
		}
	/* The time limit of the call. */
	:: atomic { told == none && frame[current_gate] != idle ->
#ifdef EXPIRY_IS_REFUSAL
		report_outcome(not_run)
#else
		report_outcome(unknown)
#endif
		}
	od
}

/* The link to each gate: its writer, the network and its receiving end. */
active [GATES] proctype Link() {
	byte g = _pid - 1;
	bool rewritten = false;
end:	do
	:: atomic { frame[g] == queued && !broken[g] -> frame[g] = written }
	:: atomic { frame[g] == written -> frame[g] = arrived }
	:: atomic { !broken[g] && (frame[g] == queued || frame[g] == written) ->
		broken[g] = true;
		if
		:: frame[g] == written -> frame[g] = lost
		:: frame[g] == written -> skip /* still arrives */
		:: frame[g] == queued -> skip
		fi }
	:: atomic { !broken[g] && (frame[g] == arrived || frame[g] == running) -> broken[g] = true }
#ifdef WRITE_TWICE
	:: atomic { broken[g] && !rewritten && (frame[g] == running || frame[g] == ended) -> rewritten = true; frame[g] = written }
#endif
	od
}

/* The gate at the node of each target. */
active [GATES] proctype Gate() {
	byte g = _pid - 1 - GATES;
end:	do
	:: atomic { frame[g] == arrived -> frame[g] = running; runs++ }
	:: atomic { frame[g] == arrived -> frame[g] = ended; if :: !broken[g] -> answer[g] = not_run :: else -> skip fi }
	:: atomic { frame[g] == running -> frame[g] = ended; if :: !broken[g] -> answer[g] = done :: else -> skip fi }
	:: atomic { frame[g] == running -> frame[g] = ended; if :: !broken[g] -> answer[g] = unknown :: else -> skip fi }
#ifdef REFUSE_AFTER_RUN
	:: atomic { frame[g] == running -> frame[g] = ended; if :: !broken[g] -> answer[g] = not_run :: else -> skip fi }
#endif
	/* A restart loses the calls that have arrived and breaks the link. */
	:: atomic { frame[g] == arrived || frame[g] == running -> frame[g] = lost; broken[g] = true }
	od
}

active proctype Check() {
end:	do
	:: atomic { runs > 1 -> assert(false) } /* once */
	:: atomic { told == not_run && runs > 0 -> assert(false) } /* told_true */
	od
}
