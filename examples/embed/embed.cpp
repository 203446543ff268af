// Uses one part of every subject from the installed headers.

#include <hornbeamgate/bookings/booking_partition.hpp>
#include <hornbeamgate/config/config_replica.hpp>
#include <hornbeamgate/keys/key_freshness.hpp>
#include <hornbeamgate/membership/membership.hpp>
#include <hornbeamgate/rates/budget_lender.hpp>
#include <hornbeamgate/routing/router.hpp>
#include <hornbeamgate/streams/stream_relay.hpp>

#include <iostream>

using namespace hornbeamgate;

int main()
{
    ConfigReplicaOptions options;
    options.dataCenter = DataCenterId("postojna");
    const auto replica = ConfigReplica::create(options, std::mt19937_64(1));
    const auto freshness = KeyFreshness::create({});
    if (!replica || !freshness)
        return 1;
    std::cout << "configuration version " << replica->accepted().version.value() << '\n';
    return 0;
}
