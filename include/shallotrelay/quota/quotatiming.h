/// Times on which a node and the keeper of quotas agree, so that no part of a quota is spent twice.
///
/// The keeper counts a node as out of touch before the node spends a share by itself: a confirmed exchange took at most
/// MaxAnswerAge, and QuotaContactTime + MaxAnswerAge doesn't exceed CreditLifetime.
#pragma once

#include "shallotrelay/base/clock.h"

namespace shallotrelay
{

/// A grant that answers an older report is ignored.
inline constexpr Duration MaxAnswerAge = std::chrono::seconds(1);
/// Credits lapse this long after the node has sent the last report that was answered. After the same time without any
/// answer the node spends its share by itself.
inline constexpr Duration CreditLifetime = std::chrono::seconds(5);
/// The keeper counts a node as in touch for this long after it has received a report whose answer is confirmed.
inline constexpr Duration QuotaContactTime = std::chrono::seconds(4);
/// Time for which nodes that are out of touch keep their share of each quota, and may spend it.
inline constexpr Duration ShareRetention = std::chrono::minutes(2);
/// Interval between the reports of a node that needs no credits.
inline constexpr Duration QuotaReportInterval = std::chrono::seconds(1);

}
