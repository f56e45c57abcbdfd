package dunlinhitch.scoring.host;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryUsage;

/** Resources that the calling thread has used so far, as counted by the JVM. */
final class ResourceUsage {
  /** The heap is nearly full if a collection leaves more than this fraction of it in use. */
  private static final double NEARLY_FULL_SHARE = 0.9;

  private ResourceUsage() {}

  /** Processor time in nanoseconds; elapsed time if the JVM does not measure it. */
  static long processorNs() {
    return ManagementFactory.getThreadMXBean().isCurrentThreadCpuTimeSupported()
        ? ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime()
        : System.nanoTime();
  }

  /** Allocated memory in bytes; 0 if the JVM does not measure it. */
  static long allocatedBytes() {
    return ManagementFactory.getThreadMXBean() instanceof com.sun.management.ThreadMXBean bean
            && bean.isThreadAllocatedMemorySupported()
        ? bean.getThreadAllocatedBytes(Thread.currentThread().getId())
        : 0;
  }

  /** True if the old generation was nearly full after its last collection. */
  static boolean isHeapNearlyFull() {
    for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
      MemoryUsage after =
          pool.isCollectionUsageThresholdSupported() && pool.isUsageThresholdSupported()
              ? pool.getCollectionUsage()
              : null;
      if (after != null
          && after.getMax() > 0
          && after.getUsed() > NEARLY_FULL_SHARE * after.getMax()) {
        return true;
      }
    }
    return false;
  }
}
