#pragma once

#include <cstdint>
#include <utility>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/ClaimKey.h"
#include "by_schema/KeptAnswer.h"
#include "by_schema/RequestRow.h"

namespace by {

/// Every request that one node holds.
struct RequestBook
{
  /// Requests without an answer yet.
  absl::flat_hash_map<RequestId, RequestRow> mRows;
  /// The non-idempotent request that this node holds for a label.
  absl::btree_map<ClaimKey, RequestId> mByLabel;
  /// Requests that wait for the log.
  absl::btree_set<RequestId> mClaiming;
  /// Claims that were proposed and are wanted no more; released once the log shows them.
  absl::btree_map<ClaimKey, RequestId> mClaimsToRelease;
  /// When each request is looked at next.
  absl::btree_set<std::pair<Time, RequestId>> mNextChecks;
  /// Answers that are kept for repeats.
  absl::flat_hash_map<RequestId, KeptAnswer> mKeptAnswers;
  /// Kept answers by age.
  absl::btree_set<std::pair<Time, RequestId>> mKeptAnswersByAge;
  /// Bytes of payload in the kept answers.
  std::int64_t mKeptBytes{ 0 };
  /// What may still be spent on retries, in hundredths of a retry.
  std::int64_t mRetryCredit{ 1000 };
};

} // namespace by
