/* Generated from charts/request_record.yaml by "oleanderworks charts promela request_record"; do not edit. */
#define request_record_s_unclaimed 0
#define request_record_s_claimed 1
#define request_record_s_released 2
#define request_record_s_completed 3
#define request_record_e_claim 0
#define request_record_e_complete 1
#define request_record_e_release 2
inline request_record_step(s, e) {
	if
	:: (s == request_record_s_unclaimed && e == request_record_e_claim) -> request_record_a_accept; s = request_record_s_claimed
	:: (s == request_record_s_unclaimed && e == request_record_e_complete) -> request_record_a_store_answer; s = request_record_s_completed
	:: (s == request_record_s_unclaimed && e == request_record_e_release) -> request_record_a_mark_released; s = request_record_s_released
	:: (s == request_record_s_claimed && e == request_record_e_claim && (request_record_g_same_holder) && (request_record_g_same_round)) -> request_record_a_confirm; s = request_record_s_claimed
	:: (s == request_record_s_claimed && e == request_record_e_claim && (request_record_g_same_holder) && !(request_record_g_same_round) && (request_record_g_later_round)) -> request_record_a_accept; s = request_record_s_claimed
	:: (s == request_record_s_claimed && e == request_record_e_claim && (request_record_g_same_holder) && !(request_record_g_same_round) && !(request_record_g_later_round)) -> request_record_a_refuse; s = request_record_s_claimed
	:: (s == request_record_s_claimed && e == request_record_e_claim && !(request_record_g_same_holder)) -> request_record_a_refuse; s = request_record_s_claimed
	:: (s == request_record_s_claimed && e == request_record_e_complete) -> request_record_a_store_answer; s = request_record_s_completed
	:: (s == request_record_s_claimed && e == request_record_e_release && (request_record_g_same_holder) && (request_record_g_later_round)) -> request_record_a_mark_released; s = request_record_s_released
	:: (s == request_record_s_claimed && e == request_record_e_release && (request_record_g_same_holder) && !(request_record_g_later_round) && (request_record_g_same_round)) -> request_record_a_mark_released; s = request_record_s_released
	:: (s == request_record_s_claimed && e == request_record_e_release && (request_record_g_same_holder) && !(request_record_g_later_round) && !(request_record_g_same_round)) -> s = request_record_s_claimed
	:: (s == request_record_s_claimed && e == request_record_e_release && !(request_record_g_same_holder)) -> s = request_record_s_claimed
	:: (s == request_record_s_released && e == request_record_e_claim && (request_record_g_same_holder) && (request_record_g_later_round)) -> request_record_a_accept; s = request_record_s_claimed
	:: (s == request_record_s_released && e == request_record_e_claim && (request_record_g_same_holder) && !(request_record_g_later_round)) -> request_record_a_refuse; s = request_record_s_released
	:: (s == request_record_s_released && e == request_record_e_claim && !(request_record_g_same_holder)) -> request_record_a_accept; s = request_record_s_claimed
	:: (s == request_record_s_released && e == request_record_e_complete) -> request_record_a_store_answer; s = request_record_s_completed
	:: (s == request_record_s_completed && e == request_record_e_claim) -> request_record_a_replay; s = request_record_s_completed
	:: else -> skip /* ignored */
	fi
}
