package dunlinhitch.scoring.host;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryUsage;

/** What the calling thread has taken so far, as the JVM counts it. */
final class Cost {
  private static final double FULL = 0.9;

  private Cost() {}

  static long processorNs() {
    return ManagementFactory.getThreadMXBean().isCurrentThreadCpuTimeSupported()
        ? ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime()
        : System.nanoTime();
  }

  /** 0 where the JVM does not count it. */
  static long allocatedBytes() {
    return ManagementFactory.getThreadMXBean() instanceof com.sun.management.ThreadMXBean counts
            && counts.isThreadAllocatedMemorySupported()
        ? counts.getThreadAllocatedBytes(Thread.currentThread().getId())
        : 0;
  }

  /** True where a collection of the old generation left it nearly full. */
  static boolean heapIsFull() {
    for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
      MemoryUsage after =
          pool.isCollectionUsageThresholdSupported() && pool.isUsageThresholdSupported()
              ? pool.getCollectionUsage()
              : null;
      if (after != null && after.getMax() > 0 && after.getUsed() > FULL * after.getMax()) {
        return true;
      }
    }
    return false;
  }
}
