/* Generated from charts/token_lease.yaml by "oleanderworks charts promela token_lease"; do not edit. */
#define token_lease_s_idle 0
#define token_lease_s_requesting 1
#define token_lease_s_held 2
#define token_lease_e_timer_due 0
#define token_lease_e_promise_granted 1
#define token_lease_e_promise_refused 2
#define token_lease_e_expired 3
#define token_lease_e_abandoned 4
#define token_lease_e_epoch_advanced 5
#define token_lease_e_promise_released 6
inline token_lease_step(s, e) {
	if
	:: (s == token_lease_s_idle && e == token_lease_e_timer_due && (token_lease_g_promised_elsewhere)) -> token_lease_a_schedule_retry; s = token_lease_s_idle
	:: (s == token_lease_s_idle && e == token_lease_e_timer_due && !(token_lease_g_promised_elsewhere)) -> token_lease_a_request_lease; s = token_lease_s_requesting
	:: (s == token_lease_s_idle && e == token_lease_e_promise_released) -> token_lease_a_schedule_retry; s = token_lease_s_idle
	:: (s == token_lease_s_requesting && e == token_lease_e_timer_due) -> token_lease_a_release_promises; token_lease_a_schedule_retry; s = token_lease_s_idle
	:: (s == token_lease_s_requesting && e == token_lease_e_promise_granted && (token_lease_g_majority)) -> token_lease_a_open_buckets; s = token_lease_s_held
	:: (s == token_lease_s_requesting && e == token_lease_e_promise_granted && !(token_lease_g_majority)) -> s = token_lease_s_requesting
	:: (s == token_lease_s_requesting && e == token_lease_e_promise_refused && (token_lease_g_majority_impossible)) -> token_lease_a_release_promises; token_lease_a_schedule_retry; s = token_lease_s_idle
	:: (s == token_lease_s_requesting && e == token_lease_e_promise_refused && !(token_lease_g_majority_impossible)) -> s = token_lease_s_requesting
	:: (s == token_lease_s_requesting && e == token_lease_e_expired) -> token_lease_a_release_promises; token_lease_a_schedule_retry; s = token_lease_s_idle
	:: (s == token_lease_s_requesting && e == token_lease_e_abandoned) -> token_lease_a_release_promises; token_lease_a_schedule_retry; s = token_lease_s_idle
	:: (s == token_lease_s_held && e == token_lease_e_timer_due) -> token_lease_a_request_renewal; s = token_lease_s_held
	:: (s == token_lease_s_held && e == token_lease_e_promise_granted && (token_lease_g_majority)) -> token_lease_a_extend_lease; s = token_lease_s_held
	:: (s == token_lease_s_held && e == token_lease_e_promise_granted && !(token_lease_g_majority)) -> s = token_lease_s_held
	:: (s == token_lease_s_held && e == token_lease_e_expired) -> token_lease_a_close_buckets; token_lease_a_schedule_retry; s = token_lease_s_idle
	:: (s == token_lease_s_held && e == token_lease_e_abandoned) -> token_lease_a_release_promises; token_lease_a_close_buckets; token_lease_a_schedule_retry; s = token_lease_s_idle
	:: (s == token_lease_s_held && e == token_lease_e_epoch_advanced) -> token_lease_a_mark_continued; token_lease_a_request_renewal; s = token_lease_s_held
	:: else -> skip /* ignored */
	fi
}
