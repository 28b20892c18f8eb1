"""A router's clients of the platform's services."""

from mulberrywharf import settings
from mulberrywharf.nodes import claim_owner
from mulberrywharf.operators import status
from mulberrywharf.platform_service import (
    config_follower,
    key_value,
    vm_list,
)
from mulberrywharf.programs import _router_status


class Platform:
    """Clients of the platform's services.

    Attributes:
        key_value: Client of the key-value service.
        vm_list: Reads the VM list.
        follower: Follows the configuration in force.
    """

    def __init__(self, config: settings.Settings):
        self.key_value = key_value.KeyValueClient.from_config(
            config, claim_owner.PURPOSE_BUDGETS
        )
        self.vm_list = vm_list.VmListReader.from_config(config)
        self.follower = config_follower.ConfigFollower.from_config(
            config, self.key_value
        )

    def start(self) -> None:
        """Starts to read the VM list and to follow the configuration."""
        self.key_value.start()
        self.vm_list.start()
        self.follower.start()

    def close(self) -> None:
        """Cancels all calls."""
        self.follower.close()
        self.vm_list.close()
        self.key_value.close()

    def status(self) -> status.PlatformStatus:
        """Returns the ages of the data from the platform."""
        return status.PlatformStatus(
            key_value_age_s=_router_status.age_or_none(self.key_value.age_s()),
            vm_list_age_s=_router_status.age_or_none(self.vm_list.age_s()),
        )
